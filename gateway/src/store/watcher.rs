//! Keeps a copy of one part of the store by snapshots and watches.

use crate::gateway::{Core, Gateway};
use fulmarhead_lib::replica::Replica;
use fulmarhead_platform::{CONFIG_PREFIX, MEMBER_PREFIX, StoreError};
use fulmarhead_runtime::supervisor::TaskResult;
use log::{info, warn};
use std::{sync::Arc, time::Duration};
use strum::{Display, IntoStaticStr};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

/// Time that a watch of the operator's documents waits. Each answer confirms that the copy is
/// current, which keys rest on that may be revoked within seconds; a copy is up to two such times
/// old, which is about half of that bound.
const OPERATOR_WATCH: Duration = Duration::from_millis(1_300);

/// Time that a watch of the list of targets waits. With the time for an answer it bounds how long
/// a connection that went silent goes unnoticed, which has to be within three seconds.
const MEMBER_WATCH: Duration = Duration::from_millis(1_900);

/// Pause after the first failed call; the store answers in milliseconds.
const FIRST_PAUSE: Duration = Duration::from_millis(50);

/// Longest pause between two failed calls, a fraction of the time in which a configuration has to
/// be in force.
const LONGEST_PAUSE: Duration = Duration::from_millis(400);

/// A part of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum Part {
    /// The operator's documents.
    Operator,
    /// The list of targets.
    Members,
}

impl Part {
    /// Returns the prefix of the part's keys.
    pub(crate) fn prefix(self) -> &'static str {
        match self {
            Self::Operator => CONFIG_PREFIX,
            Self::Members => MEMBER_PREFIX,
        }
    }

    /// Returns how long a watch of the part waits.
    fn watch_time(self) -> Duration {
        match self {
            Self::Operator => OPERATOR_WATCH,
            Self::Members => MEMBER_WATCH,
        }
    }

    /// Returns the copy of the part.
    pub(crate) fn replica(self, core: &mut Core) -> &mut Replica {
        match self {
            Self::Operator => &mut core.operator,
            Self::Members => &mut core.members,
        }
    }
}

/// Keeps the copy of `part` current until `stop` is cancelled.
pub(crate) async fn watch(
    gateway: Arc<Gateway>,
    part: Part,
    stop: CancellationToken,
) -> TaskResult {
    tokio::select! {
        () = stop.cancelled() => {}
        () = keep_current(&gateway, part) => {}
    }
    Ok(())
}

async fn keep_current(gateway: &Gateway, part: Part) {
    let mut known = false;
    let mut pause = FIRST_PAUSE;
    let mut lost = false;
    loop {
        let result = match known {
            true => follow(gateway, part).await,
            false => read_all(gateway, part).await,
        };
        match result {
            Ok(()) => {
                if lost {
                    info!(target: "decision", part:%; "the platform's store answers again");
                }
                (known, lost, pause) = (true, false, FIRST_PAUSE);
                continue;
            }
            Err(StoreError::HistoryGone) => {
                info!(target: "decision", part:%; "the store dropped the history; reading all");
                known = false;
            }
            Err(error) if !lost => {
                warn!(target: "decision", part:%, error:%; "the platform's store failed");
                lost = true;
            }
            Err(_) => {}
        }
        gateway.record_trouble(part);
        metrics::counter!("fulmarhead_store_failures_total", "part" => <&str>::from(part))
            .increment(1);
        sleep(pause).await;
        pause = (pause * 2).min(LONGEST_PAUSE);
    }
}

/// Reads the whole part.
async fn read_all(gateway: &Gateway, part: Part) -> Result<(), StoreError> {
    let asked = gateway.clock.uptime();
    let snapshot = gateway.store.snapshot(part.prefix()).await?;
    let mut core = gateway.core();
    let replica = part.replica(&mut core);
    if replica.reset(snapshot.at, snapshot.items) {
        replica.confirm(asked);
    }
    drop(core);
    gateway.adopt(part);
    Ok(())
}

/// Waits for changes once.
async fn follow(gateway: &Gateway, part: Part) -> Result<(), StoreError> {
    let asked = gateway.clock.uptime();
    let after = part.replica(&mut gateway.core()).at();
    let found = gateway.store.watch(part.prefix(), after, part.watch_time()).await?;
    let changed = !found.changes.is_empty();
    let mut core = gateway.core();
    let replica = part.replica(&mut core);
    replica.apply(found.at, found.changes);
    replica.confirm(asked);
    drop(core);
    if changed {
        gateway.adopt(part);
    }
    Ok(())
}
