//! Test helpers of fulmarhead; no released program depends on them.

mod cases;
mod clock;
pub mod process;
pub mod proxy;

pub use self::clock::ManualClock;
