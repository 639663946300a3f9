//! The ledger of one agent: the state of each idempotency key that it has recorded and not yet
//! removed.

use super::{
    answers::{Answer, BodySizes},
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

/// Limits of a [`KeyLedger`].
///
/// With the defaults and answer bodies of 168 bytes (`max_bytes` divided by `capacity`), a full
/// ledger takes 19 MiB of memory. All control processes of a node together have 32 MB of memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct KeySettings {
    /// Time after its issue during which a key is valid and its record is kept.
    pub retention: Duration,
    /// Largest tolerated difference between the clocks of an entry and an agent.
    pub clock_tolerance: Duration,
    /// Maximum number of keys in the ledger.
    pub capacity: usize,
    /// Maximum total size of the stored answer bodies in bytes; the bodies of the oldest keys are
    /// evicted first.
    ///
    /// It should be at least the size of the largest answer that an agent accepts. A larger body is
    /// stored only until the next answer is stored; a caller that has not read it by then does not
    /// receive it.
    pub max_bytes: usize,
}

impl Default for KeySettings {
    fn default() -> Self {
        Self {
            retention: Duration::from_secs(600),
            clock_tolerance: Duration::from_secs(2),
            capacity: 50_000,
            max_bytes: 8 << 20,
        }
    }
}

/// State of a key in the ledger.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum KeyState {
    /// A claim was issued and the call has not been sent yet.
    Recorded,
    /// The call may have been sent and has no answer yet.
    Dispatched,
    /// The call has completed with this answer.
    Answered(Answer),
    /// The call was sent, but its answer was lost; the call may have run.
    AnswerLost,
    /// The call has not run and will never run, for this reason.
    NotRun(Reason),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Record {
    fingerprint: Fingerprint,
    state: KeyState,
}

impl KeyState {
    /// Returns whether the state is final: the call has ended or will never start.
    pub fn is_settled(&self) -> bool {
        !matches!(self, Self::Recorded | Self::Dispatched)
    }

    /// Returns the result for a caller, or `None` while the call is in progress.
    fn result(&self) -> Option<Result<Answer, Refusal>> {
        match self {
            Self::Recorded | Self::Dispatched => None,
            // Without its body the answer would look like a complete one with an empty body.
            Self::Answered(Answer { body: None, .. }) => {
                Some(Err(Refusal::unknown(Reason::AnswerNotKept)))
            }
            Self::Answered(answer) => Some(Ok(answer.clone())),
            Self::AnswerLost => Some(Err(Refusal::unknown(Reason::TargetFailed))),
            Self::NotRun(reason) => Some(Err(Refusal::not_run(*reason))),
        }
    }
}

/// Type state of a [`Claim`]: the key is recorded and the call has not been sent.
#[derive(Debug)]
pub struct Recorded;

/// Type state of a [`Claim`]: the call may have reached the application.
#[derive(Debug)]
pub struct Dispatched;

/// The exclusive right to run the call of one key, issued at most once per key.
#[derive(Debug)]
#[must_use = "a claim that is neither dispatched nor abandoned blocks its key"]
pub struct Claim<S> {
    key_id: Uuid,
    state: PhantomData<S>,
}

/// Decision about a call with an idempotency key.
#[derive(Debug)]
pub enum CallDecision {
    /// Run the call under this claim.
    Run(Claim<Recorded>),
    /// The call is already in progress; wait for its result.
    Wait,
    /// The call has completed; return this stored answer.
    Replay(Answer),
    /// Refuse the call.
    Refuse(Refusal),
}

/// Idempotency keys of one incarnation of one agent; the call of each key runs at most once.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct KeyLedger {
    target: TargetId,
    incarnation: Incarnation,
    settings: KeySettings,
    wall: MonotonicWallClock,
    records: BTreeMap<Uuid, Record>,
    body_sizes: BodySizes,
    /// Latest time that was passed to the ledger; expiry never uses an earlier one.
    latest_time: Option<Instant>,
}

impl KeyLedger {
    /// Creates an empty ledger for an agent that starts.
    pub fn new(
        target: TargetId,
        incarnation: Incarnation,
        settings: KeySettings,
        wall: MonotonicWallClock,
    ) -> Self {
        let (records, body_sizes) = (BTreeMap::new(), BodySizes::default());
        Self { target, incarnation, settings, wall, records, body_sizes, latest_time: None }
    }

    /// Decides what to do with a call; `fingerprint` is a digest of its method, path and body.
    ///
    /// A claim is issued at most once per key. `admission` is an error if the target accepts no
    /// new work; a new key that is refused for this reason will never run.
    pub fn begin(
        &mut self,
        key: &IdempotencyKey,
        fingerprint: &Fingerprint,
        admission: Result<(), Reason>,
        now: Instant,
    ) -> CallDecision {
        if key.target != self.target {
            return CallDecision::Refuse(Refusal::unknown(Reason::WrongTarget));
        }
        if key.incarnation != self.incarnation {
            return CallDecision::Refuse(Refusal::unknown(Reason::KeyOwnerGone));
        }
        let now = self.advance_clock(now);
        self.remove_expired(now);
        match self.records.get(&key.id) {
            Some(record) => Self::decide_recorded_key(record, fingerprint),
            None if self.is_expired(key.id, now) => {
                CallDecision::Refuse(Refusal::unknown(Reason::KeyExpired))
            }
            None => self.decide_new_key(key, fingerprint, admission, now),
        }
    }

    /// Returns the later of `now` and the latest time that was passed to the ledger.
    ///
    /// Callers read the clock before they acquire the lock, so times may arrive out of order. A
    /// key whose record was removed at a later time would look new at an earlier time and run
    /// again.
    fn advance_clock(&mut self, now: Instant) -> Instant {
        let latest = self.latest_time.map_or(now, |latest| latest.max(now));
        self.latest_time = Some(latest);
        latest
    }

    fn decide_recorded_key(record: &Record, fingerprint: &Fingerprint) -> CallDecision {
        if record.fingerprint != *fingerprint {
            return CallDecision::Refuse(Refusal::unknown(Reason::KeyReused));
        }
        match record.state.result() {
            None => CallDecision::Wait,
            Some(Ok(answer)) => CallDecision::Replay(answer),
            Some(Err(refusal)) => CallDecision::Refuse(refusal),
        }
    }

    fn decide_new_key(
        &mut self,
        key: &IdempotencyKey,
        fingerprint: &Fingerprint,
        admission: Result<(), Reason>,
        now: Instant,
    ) -> CallDecision {
        if self.records.len() >= self.settings.capacity {
            return CallDecision::Refuse(Refusal::unknown(Reason::LedgerFull));
        }
        if key.issued_at() > self.wall.at(now) + self.settings.clock_tolerance {
            // The key is not recorded, because a forged time of issue could keep its record in the
            // ledger for an arbitrary time.
            return CallDecision::Refuse(Refusal::unknown(Reason::KeyFromFuture));
        }
        let refusal_reason = admission.err();
        let state = refusal_reason.map_or(KeyState::Recorded, KeyState::NotRun);
        self.records.insert(key.id, Record { fingerprint: *fingerprint, state });
        match refusal_reason {
            Some(reason) => CallDecision::Refuse(Refusal::not_run(reason)),
            None => CallDecision::Run(Claim { key_id: key.id, state: PhantomData }),
        }
    }

    /// Records that the call is about to be sent.
    ///
    /// Must be called before the first byte is sent.
    pub fn dispatch(&mut self, claim: Claim<Recorded>) -> Claim<Dispatched> {
        self.set_state(claim.key_id, KeyState::Dispatched);
        Claim { key_id: claim.key_id, state: PhantomData }
    }

    /// Drops a claim whose call was not sent; the call will never run.
    pub fn abandon(&mut self, claim: Claim<Recorded>, reason: Reason) -> Refusal {
        self.set_state(claim.key_id, KeyState::NotRun(reason));
        Refusal::not_run(reason)
    }

    /// Records that sending failed before the application received the call; the call will never
    /// run.
    pub fn record_unsent(&mut self, claim: Claim<Dispatched>, reason: Reason) -> Refusal {
        self.set_state(claim.key_id, KeyState::NotRun(reason));
        Refusal::not_run(reason)
    }

    /// Stores the answer of a call and evicts the bodies of older answers over the size limit.
    pub fn record_answer(&mut self, claim: Claim<Dispatched>, answer: Answer) {
        let size = answer.body.as_ref().map_or(0, |body| body.len());
        if self.records.contains_key(&claim.key_id) {
            for evicted in self.body_sizes.insert(claim.key_id, size, self.settings.max_bytes) {
                self.evict_body(evicted);
            }
        }
        self.set_state(claim.key_id, KeyState::Answered(answer));
    }

    /// Records that the answer of a call was lost; it is unknown whether the call has run.
    pub fn record_lost(&mut self, claim: Claim<Dispatched>) -> Refusal {
        self.set_state(claim.key_id, KeyState::AnswerLost);
        Refusal::unknown(Reason::TargetFailed)
    }

    /// Returns the state of a key, or `None` if the ledger has no record of it.
    pub fn state(&self, key_id: Uuid) -> Option<&KeyState> {
        self.records.get(&key_id).map(|record| &record.state)
    }

    /// Returns the result for a caller that waits for a key, or `None` while the call is in
    /// progress.
    pub fn result(&self, key_id: Uuid) -> Option<Result<Answer, Refusal>> {
        match self.records.get(&key_id) {
            Some(record) => record.state.result(),
            None => Some(Err(Refusal::unknown(Reason::KeyExpired))),
        }
    }

    /// Returns the total size of the stored answer bodies in bytes.
    pub fn stored_bytes(&self) -> usize {
        self.body_sizes.total()
    }

    /// Returns the number of recorded keys.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no key is recorded.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn set_state(&mut self, key_id: Uuid, state: KeyState) {
        if let Some(record) = self.records.get_mut(&key_id) {
            record.state = state;
        }
    }

    fn is_expired(&self, key_id: Uuid, now: Instant) -> bool {
        issue_time(key_id) + self.settings.retention <= self.wall.at(now)
    }

    /// Removes the records of keys whose retention has ended.
    ///
    /// The record of a call in progress is kept, so that its callers receive the answer.
    fn remove_expired(&mut self, now: Instant) {
        let expired: Vec<Uuid> = self
            .records
            .iter()
            .take_while(|&(&key_id, _)| self.is_expired(key_id, now))
            .filter(|(_, record)| record.state.is_settled())
            .map(|(&key_id, _)| key_id)
            .collect();
        for key_id in expired {
            self.records.remove(&key_id);
            self.body_sizes.remove(key_id);
        }
    }

    fn evict_body(&mut self, key_id: Uuid) {
        if let Some(Record { state: KeyState::Answered(answer), .. }) =
            self.records.get_mut(&key_id)
        {
            answer.body = None;
        }
    }
}
