//! Keeps a copy of one part of the store by snapshots and watches.

use crate::gateway::{Core, Gateway};
use fulmarhead_lib::replica::Replica;
use fulmarhead_platform::{CONFIG_PREFIX, MEMBER_PREFIX, StoreError};
use fulmarhead_runtime::supervisor::TaskResult;
use log::{info, warn};
use serde::{Deserialize, Serialize};
use std::{sync::Arc, time::Duration};
use strum::{Display, EnumIter, IntoStaticStr};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

/// Entries that watch the store all the time. One more than needed, so that the others notice
/// nothing when one fails.
const READERS: usize = 2;

/// Time that a watch waits. Its answer confirms the copy as of its beginning, for the other entries
/// too, so that a copy is up to two such times old.
const WATCH_TIME: Duration = Duration::from_millis(600);

/// Time that a call waits that only has to confirm the copy, the shortest that the store takes.
const ASK_TIME: Duration = Duration::from_millis(1);

/// Age of a copy at which an entry that does not watch asks the store itself: two watches and an
/// exchange between entries. With the call that follows it stays below the two seconds within
/// which a change has to be in force.
const ASK_AGE: Duration = Duration::from_millis(1_400);

/// Time between two entries that ask the store since no one watches it, so that the answer to the
/// first can spare the others theirs.
const ASK_STAGGER: Duration = Duration::from_millis(20);

/// Longest such time, which keeps the age within its bound with any number of entries.
const MOST_STAGGER: Duration = Duration::from_millis(300);

/// Time between two looks at the age of the copy, shorter than the exchange between entries.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);

/// Pause after the first failed call; the store answers in milliseconds.
const FIRST_PAUSE: Duration = Duration::from_millis(50);

/// Longest pause between two failed calls of an entry that watches, a fraction of the time in
/// which a configuration has to be in force.
const WATCH_PAUSE: Duration = Duration::from_millis(400);

/// Longest such pause of an entry that hears from those that watch when the store is back.
const ASK_PAUSE: Duration = Duration::from_millis(1_000);

/// A part of the store.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Display,
    EnumIter,
    IntoStaticStr,
    Serialize,
    Deserialize,
)]
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
            true => stay_current(gateway, part).await,
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
            Err(StoreError::Compacted) => {
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
        let longest = if watches(gateway) { WATCH_PAUSE } else { ASK_PAUSE };
        pause = (pause * 2).min(longest);
    }
}

/// Returns whether this entry watches the store for the others.
fn watches(gateway: &Gateway) -> bool {
    gateway.roster.rank(gateway.clock.now()) < READERS
}

/// Reads the whole part.
async fn read_all(gateway: &Gateway, part: Part) -> Result<(), StoreError> {
    let asked = gateway.clock.uptime();
    let snapshot = gateway.store.snapshot(part.prefix()).await?;
    let mut core = gateway.core();
    let replica = part.replica(&mut core);
    if replica.load_snapshot(snapshot.revision, snapshot.items) {
        replica.confirm(asked);
    }
    drop(core);
    gateway.adopt(part);
    Ok(())
}

/// Watches the store, or waits until the copy is too old to rely on what other entries confirm.
async fn stay_current(gateway: &Gateway, part: Part) -> Result<(), StoreError> {
    loop {
        let rank = gateway.roster.rank(gateway.clock.now());
        if rank < READERS {
            return follow(gateway, part, WATCH_TIME).await;
        }
        let stagger = (ASK_STAGGER * rank as u32).min(MOST_STAGGER);
        let freshness = part.replica(&mut gateway.core()).freshness();
        match freshness.age(gateway.clock.uptime()) {
            Some(age) if age < ASK_AGE + stagger => {
                sleep((ASK_AGE + stagger - age).min(LOOK_INTERVAL)).await;
            }
            _ => return follow(gateway, part, ASK_TIME).await,
        }
    }
}

/// Waits up to `wait` for changes.
async fn follow(gateway: &Gateway, part: Part, wait: Duration) -> Result<(), StoreError> {
    let asked = gateway.clock.uptime();
    let after = part.replica(&mut gateway.core()).revision();
    let found = gateway.store.watch(part.prefix(), after, wait).await?;
    let changed = !found.changes.is_empty();
    let mut core = gateway.core();
    let replica = part.replica(&mut core);
    replica.apply(found.revision, found.changes);
    replica.confirm(asked);
    core.fetches.remove(&part);
    drop(core);
    if changed {
        gateway.adopt(part);
        gateway.tell_peers();
    }
    Ok(())
}
