//! Fleets of real processes under failure: what callers are told, what applications did, and what
//! engines still hold.
//!
//! All topics are one test program, so that their tests share the machine's cores.

mod configuration;
mod load;
mod malformed;
mod orders;
mod partition;
mod shutdown;
mod streams;
mod support;
mod whole_path;
mod zones;
