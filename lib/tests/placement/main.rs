//! Tests of how an entry selects targets.

mod availability;
mod choice;
mod fixture;
mod oversized;
mod peers;
