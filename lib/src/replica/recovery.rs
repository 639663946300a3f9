//! Recovery of the list of targets after the store was unavailable or came back from a copy.

use std::time::Duration;

/// Time after the store's recovery during which a live target may be missing from the list. A target
/// whose entry lapsed writes it again within about two seconds.
const LIST_RECOVERY_TIME: Duration = Duration::from_millis(2_300);

/// Number of heartbeats that a target certainly misses before its entry lapses: the first of three
/// intervals began with the last heartbeat before the store failed.
const MISSED_HEARTBEATS: u32 = 2;

/// Number of silent heartbeats after which the record of a target lapses.
const RECORD_HEARTBEATS: u32 = 3;

/// Time in which a lapsed record is removed at all entries.
const LAPSE_DELAY: Duration = Duration::from_secs(1);

/// Tells whether targets that are missing from the list may be live ones, whose entries lapsed while
/// the store was unavailable, or who registered after the copy that the store has come back from.
///
/// Failed calls of an entry do not show that: its own link may be cut while the targets reach the
/// store. A list that no entry could confirm for as long as entries take to lapse does. Times are
/// those of `Clock::uptime`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListRecovery {
    /// Shortest time without the store in which entries lapse.
    lapse_time: Duration,
    /// Time for which a list of a store that has come back from a copy can have records of targets
    /// that have left.
    outdated_time: Duration,
    confirmed_at: Option<Duration>,
    recovered_at: Option<Duration>,
}

impl ListRecovery {
    /// Returns the state before the list was first read, of targets that write their entries every
    /// `heartbeat`.
    pub fn new(heartbeat: Duration) -> Self {
        let lapse_time = heartbeat * MISSED_HEARTBEATS;
        let outdated_time = heartbeat * RECORD_HEARTBEATS + LAPSE_DELAY;
        Self { lapse_time, outdated_time, confirmed_at: None, recovered_at: None }
    }

    /// Records that the list was up to date at `at`, as this entry or a peer has seen.
    pub fn confirm(&mut self, at: Duration) {
        if self.is_interrupted(at) {
            self.recovered_at = Some(at);
        }
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// Records that a list of a store that has come back from a copy is in use from `at` on, and
    /// returns for how long it can have records of targets that have left.
    pub fn record_return(&mut self, at: Duration) -> Duration {
        self.recovered_at = Some(at);
        self.outdated_time
    }

    /// Returns the time from `now` on for which targets that are missing from the list may be live.
    pub fn remaining(&self, now: Duration) -> Duration {
        let recovered_at = match self.is_interrupted(now) {
            true => Some(now),
            false => self.recovered_at,
        };
        recovered_at.map_or(Duration::ZERO, |at| (at + LIST_RECOVERY_TIME).saturating_sub(now))
    }

    /// Returns whether the list was not confirmed for so long until `at` that entries may have
    /// lapsed.
    fn is_interrupted(&self, at: Duration) -> bool {
        self.confirmed_at.is_some_and(|last| at.saturating_sub(last) >= self.lapse_time)
    }
}
