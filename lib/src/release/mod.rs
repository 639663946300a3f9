//! The release note: what the fleet is to become, and whose turn it is to change.

mod note;

pub use self::note::{Action, AdapterChange, ModelChange, ReleaseNote, TargetChange, ZoneChange};
