//! Stand-in for the configuration service: values that operators write and all processes read and
//! watch.

mod faults;
mod http;
mod store;

pub use self::{
    faults::ServiceFaults,
    store::{ConfigSettings, ConfigStore, MAX_VALUE_BYTES},
};
