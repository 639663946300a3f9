//! Open-loop load generator for a fleet.
//!
//! Sends seeded arrivals of prompts of different lengths and of application calls, and reports the
//! latency by length class and by team.

mod arrivals;
mod mix;
mod prefixes;
mod record;
mod report;
mod request;
mod run;
mod settings;
mod team;

pub use self::{
    arrivals::{Arrival, Arrivals, RequestKind},
    mix::{Mix, MixSettings},
    prefixes::SharedPrefixes,
    record::{
        Counts, ErrorKind, Recorder, RefusalKind, RequestResult, Sample, SecondSamples, Summary,
    },
    report::{Report, plot, table},
    run::{RunError, run},
    settings::{Settings, command},
    team::{TeamShare, TeamShareError},
};
