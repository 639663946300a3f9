//! Configuration documents that operators publish.

use fulmarhead_lib::config::Bundle;
use serde_json::json;
use strum::EnumIter;

/// Identifier of the only agent's target.
pub(super) const TARGET_ID: &str = "w1";

/// A published configuration document.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, EnumIter)]
pub enum Document {
    /// Revision 1, published from the start: the zone is in service.
    Initial,
    /// Revision 2 of one operator, who takes the zone out of service.
    ZoneOutOfService,
    /// Conflicting revision 2 of another operator, who leaves the zone in service and adds an empty
    /// one.
    AddZone,
    /// Revision 3, which is not valid JSON.
    Malformed,
    /// Revision 4: the zone is in service again.
    ZoneInService,
}

impl Document {
    /// Returns whether operators may publish this document after those in `published`.
    ///
    /// The caller checks that it is not published yet; the initial document always is.
    pub(super) fn can_follow(self, published: &[Self]) -> bool {
        let is_published = |document| published.contains(&document);
        match self {
            Self::Initial => false,
            Self::ZoneOutOfService | Self::AddZone => {
                !is_published(Self::Malformed) && !is_published(Self::ZoneInService)
            }
            Self::Malformed | Self::ZoneInService => {
                is_published(Self::ZoneOutOfService) || is_published(Self::AddZone)
            }
        }
    }

    /// Returns the document as the [`Bundle`] of revision and text that processes exchange.
    pub(super) fn bundle(self) -> Bundle {
        let (revision, in_service) = match self {
            Self::Initial => (1, true),
            Self::ZoneOutOfService => (2, false),
            Self::AddZone => (2, true),
            Self::Malformed => (3, true),
            Self::ZoneInService => (4, true),
        };
        let mut zones = vec![json!({"id": "z1", "in_service": in_service})];
        if self == Self::AddZone {
            zones.push(json!({"id": "z2"}));
        }
        let target = json!({
            "id": TARGET_ID, "zone": "z1", "kind": "application", "application": "a1",
            "work": "127.0.0.1:1", "control": "127.0.0.1:2",
        });
        let fleet = json!({
            "revision": revision, "zones": zones, "models": [], "targets": [target],
            "entries": [], "teams": [], "applications": [{"id": "a1", "routes": []}],
        });
        let text = if self == Self::Malformed { "{".to_owned() } else { fleet.to_string() };
        Bundle { revision, text: text.into() }
    }
}
