//! Choice of targets that are called directly.

mod choice;
mod fixture;
mod limits;
mod peers;
mod shared;
