//! Tests of fleets of separate processes under failure.
//!
//! They check the responses that callers get, the effects at applications, and the memory that
//! engines still hold. All of them are in one test program, so that they share the machine's cores.

mod configuration;
mod crashes;
mod load;
mod malformed;
mod orders;
mod partition;
mod shutdown;
mod stop;
mod streams;
mod support;
mod whole_path;
mod zones;
