//! Test helpers of fulmarhead; no program links them.

mod cases;
mod clock;
pub mod process;
pub mod proxy;

pub use self::clock::ManualClock;
