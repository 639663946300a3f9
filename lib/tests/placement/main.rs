//! Tests of the selection of targets that an entry calls directly.

mod choice;
mod fixture;
mod limits;
mod peers;
mod shared;
