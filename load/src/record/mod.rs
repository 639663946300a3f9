//! Collection of request samples, counts and latencies.

mod recorder;
mod result;
mod summary;

pub use self::{
    recorder::{Recorder, Sample, SecondSamples},
    result::{ErrorKind, RefusalKind, RequestResult},
    summary::{Counts, Summary},
};
