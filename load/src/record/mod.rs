//! What is recorded of the requests.

mod ending;
mod recorder;
mod summary;

pub use self::{
    ending::{Ending, ErrorKind, Refused},
    recorder::{Recorder, Sample, Second},
    summary::{Counts, Summary},
};
