//! Activates what the local replicas of the store contain.

use super::StorePart;
use crate::gateway::{Gateway, GatewayState};
use fulmarhead_lib::{
    ids::{Revision, TargetId},
    placement::Member,
};
use fulmarhead_platform::{decode_config, decode_member, evacuated_zones};
use log::{info, warn};
use std::{collections::BTreeMap, sync::Arc};

impl Gateway {
    /// Activates the current contents of the replica of `part`.
    ///
    /// A configuration that is invalid or not newer than the active one is ignored.
    pub(crate) fn activate(&self, part: StorePart) {
        let mut state = self.state();
        if self.begin_era(&mut state, part) {
            self.record_return(&mut state, part);
        }
        match part {
            StorePart::Operator => self.activate_operator(&mut state),
            StorePart::Members => self.activate_members(&mut state),
        }
    }

    /// Records the era of the replica of `part`, and returns whether it is a later one than that of
    /// the active contents.
    fn begin_era(&self, state: &mut GatewayState, part: StorePart) -> bool {
        let position = part.replica(state).position();
        let era = position.era;
        let has_returned = state.active_eras.insert(part, era).is_some_and(|active| active < era);
        if has_returned {
            info!(target: "decision", part:%, position:%; "the store came back from a copy of itself");
            metrics::counter!("fulmarhead_store_returns_total", "part" => <&str>::from(part))
                .increment(1);
        }
        has_returned
    }

    /// Prepares for contents of a copy, which may lack what the operator and the targets have written
    /// since.
    fn record_return(&self, state: &mut GatewayState, part: StorePart) {
        let now = self.clock.now();
        match part {
            StorePart::Operator => state.pool.keep_excluded_zones(now),
            StorePart::Members => {
                let outdated_for = state.list_recovery.record_return(self.clock.uptime());
                state.pool.record_return(outdated_for, now);
            }
        }
    }

    fn activate_operator(&self, state: &mut GatewayState) {
        let zones = evacuated_zones(state.config_replica.items());
        if zones != state.pool.summary().excluded_zones {
            info!(target: "decision", zones:? = zones; "changed the zones that get no new work");
        }
        state.pool.exclude_zones(zones);
        let active_version = state.table.as_ref().map(|table| table.version());
        let table = match decode_config(state.config_replica.items()) {
            Some(Ok(table)) if active_version.is_none_or(|version| table.version() > version) => {
                table
            }
            Some(Ok(table)) => {
                let version: Revision = table.version();
                if active_version.is_some_and(|active| active > version) {
                    info!(target: "decision", version, active_version; "ignored an older configuration");
                }
                return;
            }
            None => return,
            Some(Err(error)) => {
                warn!(target: "decision", error:%; "configuration refused");
                return;
            }
        };
        let (version, routes): (Revision, usize) = (table.version(), table.len());
        let revision = state.config_replica.position().revision;
        info!(target: "decision", version, routes, revision; "activated a new configuration");
        state.table = Some(Arc::new(table));
        self.config_version.send_replace(version);
    }

    fn activate_members(&self, state: &mut GatewayState) {
        let now = self.clock.now();
        let mut members: BTreeMap<TargetId, Member> = BTreeMap::new();
        for (key, item) in state.target_list.items() {
            match decode_member(key, &item.value) {
                Ok(member) => drop(members.insert(member.id.clone(), member)),
                Err(error) => {
                    warn!(
                        key, revision = item.revision, error:%;
                        "ignored a list item that names no valid target"
                    );
                    metrics::counter!("fulmarhead_bad_entries_total").increment(1);
                }
            }
        }
        let missing_grace = state.list_recovery.remaining(self.clock.uptime());
        let (targets, revision) = (members.len(), state.target_list.position().revision);
        let grace_ms = missing_grace.as_millis() as u64;
        info!(target: "decision", targets, revision, grace_ms; "list of targets changed");
        state.pool.update_members(members, missing_grace, now);
    }
}
