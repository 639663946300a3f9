//! Activates what the local replicas of the store contain.

use super::StorePart;
use crate::gateway::{Gateway, GatewayState};
use fulmarhead_lib::{
    ids::{Revision, TargetId},
    placement::Member,
};
use fulmarhead_platform::{decode_config, decode_member, evacuated_zones};
use log::{info, warn};
use std::{collections::BTreeMap, sync::Arc, time::Duration};

/// Time after a failed read of the list of targets during which a new list may be incomplete. A
/// target that is missing from it is not drained, but stays usable for a grace period; live targets
/// are listed again about two seconds after the store recovers.
const LIST_RECOVERY_TIME: Duration = Duration::from_millis(2_500);

impl Gateway {
    /// Records a failed call to the store. For `LIST_RECOVERY_TIME` after a failed read of the list
    /// of targets, a target that is missing from a new list is not drained immediately.
    pub(crate) fn record_store_failure(&self, part: StorePart) {
        if part == StorePart::Members {
            self.state().list_failed_at = Some(self.clock.now());
        }
    }

    /// Activates the current contents of the replica of `part`.
    ///
    /// A configuration that is invalid or not newer than the active one is ignored.
    pub(crate) fn activate(&self, part: StorePart) {
        let mut state = self.state();
        match part {
            StorePart::Operator => self.activate_operator(&mut state),
            StorePart::Members => self.activate_members(&mut state),
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
            Some(Ok(_)) | None => return,
            Some(Err(error)) => {
                warn!(target: "decision", error:%; "configuration refused");
                return;
            }
        };
        let (version, routes): (Revision, usize) = (table.version(), table.len());
        info!(target: "decision", version, routes; "activated a new configuration");
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
        let failed_at = state.list_failed_at;
        let unsettled =
            failed_at.is_some_and(|at| now.saturating_duration_since(at) <= LIST_RECOVERY_TIME);
        let (targets, revision) = (members.len(), state.target_list.revision());
        info!(target: "decision", targets, revision, unsettled; "list of targets changed");
        state.pool.update_members(members, unsettled, now);
    }
}
