//! Loads that are played against the placement without a network, each named for its pattern.

mod engine;
mod fleet;
mod patterns;
