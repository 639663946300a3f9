//! Position of a copy in the history of the platform's store.

use crate::ids::{Revision, StoreEra};
use serde::{Deserialize, Serialize};
use std::fmt::{self, Display, Formatter};

/// State of the store that a copy holds.
///
/// A store that comes back from an older copy of itself gives revisions out again for other changes,
/// so that a revision names a state only together with the era. Positions are ordered by the era
/// first: the store has lost what it did not have at the beginning of an era.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Position {
    /// Era of the store; 0 if it names none.
    pub era: StoreEra,
    /// Revision within the era; 0 before the first snapshot.
    pub revision: Revision,
}

impl Position {
    /// Returns the position at `revision` in `era`.
    pub fn new(era: StoreEra, revision: Revision) -> Self {
        Self { era, revision }
    }
}

impl Display for Position {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.era, self.revision)
    }
}
