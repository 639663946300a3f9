//! Changes the target to match the release note, in turn with the other targets of its group.

mod group;
mod task;

pub(crate) use self::task::roll_out;
