//! The ledger of one agent: which keys have run, run now, or will never run.

use super::key::{IdempotencyKey, issue_time};
use crate::{
    clock::SteadyWall,
    ids::{Incarnation, TargetId},
    outcome::{Reason, Refusal},
};
use serde::{Deserialize, Serialize};
use std::{
    collections::BTreeMap,
    marker::PhantomData,
    sync::Arc,
    time::{Duration, Instant},
};
use uuid::Uuid;

/// Bounds of a ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeySettings {
    /// How long after its issue a key is known.
    pub retention: Duration,
    /// How far the clocks of an entry and an agent may differ.
    pub clock_error: Duration,
    /// Most keys that the ledger holds.
    pub capacity: usize,
    /// Largest answer that the ledger keeps, in bytes.
    pub max_answer: usize,
}

impl Default for KeySettings {
    fn default() -> Self {
        Self {
            retention: Duration::from_secs(600),
            clock_error: Duration::from_secs(2),
            capacity: 100_000,
            max_answer: 64 << 10,
        }
    }
}

/// The answer of an application to a call that ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Media type of the body.
    pub media_type: String,
    /// Body; `None` if it was over the size that the ledger keeps.
    pub body: Option<Arc<[u8]>>,
}

/// What the ledger holds of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyState {
    /// A claim was given out and the call was not sent yet.
    Recorded,
    /// The call was sent and has no answer yet.
    Dispatched,
    /// The call was answered.
    Answered(Answer),
    /// The call was sent and its answer was lost.
    Lost,
    /// The key will never run.
    Tombstone(Reason),
}

#[derive(Clone, Debug)]
struct Record {
    fingerprint: String,
    state: KeyState,
}

/// Life cycle of a claim: the key is recorded and the call was not sent.
#[derive(Debug)]
pub struct Recorded;

/// Life cycle of a claim: the call may have reached the application.
#[derive(Debug)]
pub struct Dispatched;

/// The right to run one key, given out once.
#[derive(Debug)]
#[must_use = "a claim that is neither dispatched nor abandoned blocks its key"]
pub struct Claim<S> {
    key: Uuid,
    state: PhantomData<S>,
}

/// What to do with a call that carries a key.
#[derive(Debug)]
pub enum Begin {
    /// Run the call.
    Run(Claim<Recorded>),
    /// The call runs already; its answer comes later.
    Wait,
    /// The call has run with this answer.
    Replay(Answer),
    /// The call is refused.
    Refuse(Refusal),
}

/// Keys of one life of one agent.
#[derive(Clone, Debug)]
pub struct KeyLedger {
    target: TargetId,
    incarnation: Incarnation,
    settings: KeySettings,
    wall: SteadyWall,
    records: BTreeMap<Uuid, Record>,
}

impl KeyLedger {
    /// Returns the empty ledger of an agent that starts.
    pub fn new(
        target: TargetId,
        incarnation: Incarnation,
        settings: KeySettings,
        wall: SteadyWall,
    ) -> Self {
        Self { target, incarnation, settings, wall, records: BTreeMap::new() }
    }

    /// Decides what to do with a call; `fingerprint` is a digest of its method, path and body.
    ///
    /// A claim is given out at most once for a key. `open` holds the reason for which the target
    /// takes no new work, if there is one; a key that is refused for it never runs.
    pub fn begin(
        &mut self,
        key: &IdempotencyKey,
        fingerprint: &str,
        open: Result<(), Reason>,
        now: Instant,
    ) -> Begin {
        if key.target != self.target {
            return Begin::Refuse(Refusal::unknown(Reason::WrongTarget));
        }
        if key.incarnation != self.incarnation {
            return Begin::Refuse(Refusal::unknown(Reason::KeyOwnerGone));
        }
        self.forget_expired(now);
        if self.is_expired(key.id, now) {
            return Begin::Refuse(Refusal::unknown(Reason::KeyExpired));
        }
        match self.records.get(&key.id) {
            Some(record) => Self::repeat(record, fingerprint),
            None => self.first(key, fingerprint, open, now),
        }
    }

    fn repeat(record: &Record, fingerprint: &str) -> Begin {
        if record.fingerprint != fingerprint {
            return Begin::Refuse(Refusal::unknown(Reason::KeyReused));
        }
        match &record.state {
            KeyState::Recorded | KeyState::Dispatched => Begin::Wait,
            KeyState::Answered(answer) => Begin::Replay(answer.clone()),
            KeyState::Lost => Begin::Refuse(Refusal::unknown(Reason::TargetFailed)),
            KeyState::Tombstone(reason) => Begin::Refuse(Refusal::not_run(*reason)),
        }
    }

    fn first(
        &mut self,
        key: &IdempotencyKey,
        fingerprint: &str,
        open: Result<(), Reason>,
        now: Instant,
    ) -> Begin {
        if self.records.len() >= self.settings.capacity {
            return Begin::Refuse(Refusal::unknown(Reason::LedgerFull));
        }
        if key.issued() > self.wall.at(now) + self.settings.clock_error {
            // No record is kept: a forged time of issue would hold its place for as long as it likes.
            return Begin::Refuse(Refusal::unknown(Reason::KeyFromFuture));
        }
        let refused = open.err();
        let state = refused.map_or(KeyState::Recorded, KeyState::Tombstone);
        self.records.insert(key.id, Record { fingerprint: fingerprint.to_owned(), state });
        match refused {
            Some(reason) => Begin::Refuse(Refusal::not_run(reason)),
            None => Begin::Run(Claim { key: key.id, state: PhantomData }),
        }
    }

    /// Records that the call is about to be sent. Must come before the first byte leaves.
    pub fn dispatch(&mut self, claim: Claim<Recorded>) -> Claim<Dispatched> {
        self.set(claim.key, KeyState::Dispatched);
        Claim { key: claim.key, state: PhantomData }
    }

    /// Gives up a claim whose call was not sent; the key never runs.
    pub fn abandon(&mut self, claim: Claim<Recorded>, reason: Reason) -> Refusal {
        self.set(claim.key, KeyState::Tombstone(reason));
        Refusal::not_run(reason)
    }

    /// Records that the call could not be sent after all; the key never runs.
    pub fn unsent(&mut self, claim: Claim<Dispatched>, reason: Reason) -> Refusal {
        self.set(claim.key, KeyState::Tombstone(reason));
        Refusal::not_run(reason)
    }

    /// Records the answer of a call.
    pub fn answer(&mut self, claim: Claim<Dispatched>, mut answer: Answer) {
        if answer.body.as_ref().is_some_and(|body| body.len() > self.settings.max_answer) {
            answer.body = None;
        }
        self.set(claim.key, KeyState::Answered(answer));
    }

    /// Records that the answer of a call was lost.
    pub fn lose(&mut self, claim: Claim<Dispatched>) -> Refusal {
        self.set(claim.key, KeyState::Lost);
        Refusal::unknown(Reason::TargetFailed)
    }

    /// Returns what the ledger holds of a key.
    pub fn state(&self, key: Uuid) -> Option<&KeyState> {
        self.records.get(&key).map(|record| &record.state)
    }

    /// Returns how many keys the ledger holds.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether the ledger holds no key.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn set(&mut self, key: Uuid, state: KeyState) {
        if let Some(record) = self.records.get_mut(&key) {
            record.state = state;
        }
    }

    fn is_expired(&self, key: Uuid, now: Instant) -> bool {
        issue_time(key) + self.settings.retention <= self.wall.at(now)
    }

    fn forget_expired(&mut self, now: Instant) {
        while let Some((&key, _)) = self.records.first_key_value() {
            if !self.is_expired(key, now) {
                return;
            }
            self.records.remove(&key);
        }
    }
}
