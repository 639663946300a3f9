//! Test helpers of fulmarhead; no program links them.

mod cases;
mod clock;

pub use self::clock::ManualClock;
