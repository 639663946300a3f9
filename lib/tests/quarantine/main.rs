//! Tests of the quarantine of prompt parts that crash targets, without a network.

mod detection;
mod exchange;
mod fixture;
mod holds;
mod ordinary;
mod quiet;
mod repeats;
