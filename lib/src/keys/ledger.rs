//! The ledger of one agent: which keys have run, run now, or will never run.

use super::{
    answers::{Answer, Bodies},
    key::{IdempotencyKey, issue_time},
};
use crate::{
    clock::MonotonicWallClock,
    ids::{Fingerprint, Incarnation, TargetId},
    outcome::{Reason, Refusal},
};
use std::{
    collections::BTreeMap,
    marker::PhantomData,
    time::{Duration, Instant},
};
use uuid::Uuid;

/// Bounds of a ledger.
///
/// By default a full ledger took 19 MiB in a trial with answers of 168 bytes; a node has 32 MB
/// for control in all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct KeySettings {
    /// How long after its issue a key is known.
    pub retention: Duration,
    /// How far the clocks of an entry and an agent may differ.
    pub clock_error: Duration,
    /// Most keys that the ledger holds.
    pub capacity: usize,
    /// Most bytes of answers that the ledger keeps; the answers to the oldest keys go first.
    ///
    /// It must be at least the largest answer that an agent accepts, or the call's own caller
    /// would not get it.
    pub max_answers: usize,
}

impl Default for KeySettings {
    fn default() -> Self {
        Self {
            retention: Duration::from_secs(600),
            clock_error: Duration::from_secs(2),
            capacity: 50_000,
            max_answers: 8 << 20,
        }
    }
}

/// What the ledger holds of a key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
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

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Record {
    fingerprint: Fingerprint,
    state: KeyState,
}

impl KeyState {
    /// Returns whether the call has ended or will never start.
    pub fn is_settled(&self) -> bool {
        !matches!(self, Self::Recorded | Self::Dispatched)
    }

    /// Returns what to tell a caller; `None` while the call runs.
    fn result(&self) -> Option<Result<Answer, Refusal>> {
        match self {
            Self::Recorded | Self::Dispatched => None,
            // An answer without its body would pass for a complete one.
            Self::Answered(Answer { body: None, .. }) => {
                Some(Err(Refusal::unknown(Reason::AnswerNotKept)))
            }
            Self::Answered(answer) => Some(Ok(answer.clone())),
            Self::Lost => Some(Err(Refusal::unknown(Reason::TargetFailed))),
            Self::Tombstone(reason) => Some(Err(Refusal::not_run(*reason))),
        }
    }
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
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct KeyLedger {
    target: TargetId,
    incarnation: Incarnation,
    settings: KeySettings,
    wall: MonotonicWallClock,
    records: BTreeMap<Uuid, Record>,
    bodies: Bodies,
    /// Latest time that the ledger was given.
    latest: Option<Instant>,
}

impl KeyLedger {
    /// Returns the empty ledger of an agent that starts.
    pub fn new(
        target: TargetId,
        incarnation: Incarnation,
        settings: KeySettings,
        wall: MonotonicWallClock,
    ) -> Self {
        let (records, bodies) = (BTreeMap::new(), Bodies::default());
        Self { target, incarnation, settings, wall, records, bodies, latest: None }
    }

    /// Decides what to do with a call; `fingerprint` is a digest of its method, path and body.
    ///
    /// A claim is given out at most once for a key. `open` holds the reason for which the target
    /// takes no new work, if there is one; a key that is refused for it never runs.
    pub fn begin(
        &mut self,
        key: &IdempotencyKey,
        fingerprint: &Fingerprint,
        open: Result<(), Reason>,
        now: Instant,
    ) -> Begin {
        if key.target != self.target {
            return Begin::Refuse(Refusal::unknown(Reason::WrongTarget));
        }
        if key.incarnation != self.incarnation {
            return Begin::Refuse(Refusal::unknown(Reason::KeyOwnerGone));
        }
        let now = self.advance(now);
        self.forget_expired(now);
        match self.records.get(&key.id) {
            Some(record) => Self::repeat(record, fingerprint),
            None if self.is_expired(key.id, now) => {
                Begin::Refuse(Refusal::unknown(Reason::KeyExpired))
            }
            None => self.first(key, fingerprint, open, now),
        }
    }

    /// Returns `now`, or the latest time that the ledger was given if that is later.
    ///
    /// A caller reads the clock before it gets the lock, so that times may arrive out of order.
    /// A key that was forgotten at a later time would look new at an earlier one and run again.
    fn advance(&mut self, now: Instant) -> Instant {
        let latest = self.latest.map_or(now, |latest| latest.max(now));
        self.latest = Some(latest);
        latest
    }

    fn repeat(record: &Record, fingerprint: &Fingerprint) -> Begin {
        if record.fingerprint != *fingerprint {
            return Begin::Refuse(Refusal::unknown(Reason::KeyReused));
        }
        match record.state.result() {
            None => Begin::Wait,
            Some(Ok(answer)) => Begin::Replay(answer),
            Some(Err(refusal)) => Begin::Refuse(refusal),
        }
    }

    fn first(
        &mut self,
        key: &IdempotencyKey,
        fingerprint: &Fingerprint,
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
        self.records.insert(key.id, Record { fingerprint: *fingerprint, state });
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
    pub fn answer(&mut self, claim: Claim<Dispatched>, answer: Answer) {
        let size = answer.body.as_ref().map_or(0, |body| body.len());
        if self.records.contains_key(&claim.key) {
            for key in self.bodies.insert(claim.key, size, self.settings.max_answers) {
                self.drop_body(key);
            }
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

    /// Returns what to tell a caller that waits for a key; `None` while the call runs.
    pub fn result(&self, key: Uuid) -> Option<Result<Answer, Refusal>> {
        match self.records.get(&key) {
            Some(record) => record.state.result(),
            None => Some(Err(Refusal::unknown(Reason::KeyExpired))),
        }
    }

    /// Returns how many bytes of answers the ledger keeps.
    pub fn kept_bytes(&self) -> usize {
        self.bodies.total()
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

    /// Forgets the keys that are too old to be used again.
    ///
    /// A key whose call still runs stays, so that its callers get the answer.
    fn forget_expired(&mut self, now: Instant) {
        let expired: Vec<Uuid> = self
            .records
            .iter()
            .take_while(|&(&key, _)| self.is_expired(key, now))
            .filter(|(_, record)| record.state.is_settled())
            .map(|(&key, _)| key)
            .collect();
        for key in expired {
            self.records.remove(&key);
            self.bodies.remove(key);
        }
    }

    fn drop_body(&mut self, key: Uuid) {
        if let Some(Record { state: KeyState::Answered(answer), .. }) = self.records.get_mut(&key) {
            answer.body = None;
        }
    }
}
