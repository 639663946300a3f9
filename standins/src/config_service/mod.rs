//! The configuration service: values that operators write and everybody reads and watches.

mod faults;
mod http;
mod store;

pub use self::{
    faults::ServiceFaults,
    store::{ConfigSettings, ConfigStore, MAX_VALUE},
};
