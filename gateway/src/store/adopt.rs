//! Puts in force what a copy of the store shows.

use super::Part;
use crate::gateway::{Core, Gateway};
use fulmarhead_lib::{
    ids::{Revision, TargetId},
    placement::Member,
};
use fulmarhead_platform::{decode_config, decode_member, evacuated_zones};
use log::{info, warn};
use std::{collections::BTreeMap, sync::Arc, time::Duration};

/// Time after trouble with the store in which a target that is missing from the list may come
/// back: live targets are there again about two seconds after the store's return.
const UNSETTLED_TIME: Duration = Duration::from_millis(2_500);

impl Gateway {
    /// Records that the store failed.
    pub(crate) fn record_trouble(&self, part: Part) {
        if part == Part::Members {
            self.core().list_trouble = Some(self.clock.now());
        }
    }

    /// Puts the copy of `part` in force.
    pub(crate) fn adopt(&self, part: Part) {
        let mut core = self.core();
        match part {
            Part::Operator => self.adopt_operator(&mut core),
            Part::Members => self.adopt_members(&mut core),
        }
    }

    fn adopt_operator(&self, core: &mut Core) {
        let zones = evacuated_zones(core.operator.items());
        if zones != core.pool.view().excluded_zones {
            info!(target: "decision", zones:? = zones; "zones out of service changed");
        }
        core.pool.exclude_zones(zones);
        let current = core.table.as_ref().map(|table| table.version());
        let table = match decode_config(core.operator.items()) {
            Some(Ok(table)) if current.is_none_or(|version| table.version() > version) => table,
            Some(Ok(_)) | None => return,
            Some(Err(error)) => {
                warn!(target: "decision", error:%; "configuration refused");
                return;
            }
        };
        let (version, routes): (Revision, usize) = (table.version(), table.len());
        info!(target: "decision", version, routes; "configuration adopted");
        core.table = Some(Arc::new(table));
        self.version.send_replace(version);
    }

    fn adopt_members(&self, core: &mut Core) {
        let now = self.clock.now();
        let mut members: BTreeMap<TargetId, Member> = BTreeMap::new();
        for (key, item) in core.members.items() {
            match decode_member(key, &item.value) {
                Ok(member) => drop(members.insert(member.id.clone(), member)),
                Err(error) => {
                    warn!(key, revision = item.revision, error:%; "entry names no target");
                    metrics::counter!("fulmarhead_bad_entries_total").increment(1);
                }
            }
        }
        let trouble = core.list_trouble;
        let unsettled =
            trouble.is_some_and(|at| now.saturating_duration_since(at) <= UNSETTLED_TIME);
        let (targets, revision) = (members.len(), core.members.revision());
        info!(target: "decision", targets, revision, unsettled; "list of targets changed");
        core.pool.update_members(members, unsettled, now);
    }
}
