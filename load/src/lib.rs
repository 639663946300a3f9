//! Open-loop load on a fleet: seeded arrivals of prompts of unlike lengths and of application
//! calls, with latency by length class and by team.

mod arrivals;
mod mix;
mod record;
mod report;
mod request;
mod run;
mod settings;
mod team;

pub use self::{
    arrivals::{Arrival, Arrivals, Work},
    mix::{Mix, MixSettings},
    record::{Counts, Ending, ErrorKind, Recorder, Refused, Sample, Second, Summary},
    report::{Report, plot, table},
    run::{RunError, run},
    settings::{Settings, command},
    team::{TeamShare, TeamShareError},
};
