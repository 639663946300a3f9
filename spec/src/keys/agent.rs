//! One life of an agent in the model of keys; it decides with the real ledger.

use super::state::{Key, Life};
use crate::clock::{Step, Times};
use fulmarhead_lib::{
    admission::{AdmissionController, AdmissionSettings, Phase},
    ids::Fingerprint,
    keys::{
        Answer, CallDecision, Claim, Dispatched, IdempotencyKey, KeyLedger, KeySettings, Recorded,
    },
    outcome::{Reason, Refusal},
};
use std::{
    collections::BTreeMap,
    time::{Duration, SystemTime},
};
use uuid::Builder;

/// Name of the one target.
const TARGET: &str = "w1";

/// Digest that all calls with one key share.
const FINGERPRINT: Fingerprint = [1; 32];

/// How far the call of a claim has got.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum Progress {
    Recorded,
    Dispatched,
    Transmitted,
    Ran,
}

/// A call with a key.
#[derive(Clone, Debug)]
pub(super) struct Call {
    times: Times,
    number: Key,
    key: IdempotencyKey,
    issued: Step,
}

impl Call {
    /// Returns the call with the key of a number that was issued at `issued` for `life`.
    pub(super) fn new(times: Times, number: Key, life: Life, issued: Step) -> Self {
        let since = times.wall(issued).duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        let id = Builder::from_unix_timestamp_millis(since.as_millis() as u64, &[number; 10]);
        let (id, target) = (id.into_uuid(), TARGET.to_owned());
        Self { times, number, key: IdempotencyKey { id, target, incarnation: life }, issued }
    }

    /// Returns the number of the key.
    pub(super) fn number(&self) -> Key {
        self.number
    }

    /// Returns the same call as if its key had been issued for `life`.
    pub(super) fn of(mut self, life: Life) -> Self {
        self.key.incarnation = life;
        self
    }

    /// Returns the claim that the ledger gave out for the key.
    ///
    /// A claim can't be cloned with a state of the model. The model records which claims are out,
    /// and an equal one comes from a ledger that has seen nothing else.
    fn recorded(&self) -> (Claim<Recorded>, KeyLedger) {
        let (target, life) = (TARGET.to_owned(), self.key.incarnation);
        let settings = KeySettings::default();
        let mut empty = KeyLedger::new(target, life, settings, self.times.steady(self.issued));
        match empty.begin(&self.key, &FINGERPRINT, Ok(()), self.times.now(self.issued)) {
            CallDecision::Run(claim) => (claim, empty),
            CallDecision::Wait | CallDecision::Replay(_) | CallDecision::Refuse(_) => {
                unreachable!("the ledger is empty and the key is new")
            }
        }
    }

    fn dispatched(&self) -> Claim<Dispatched> {
        let (claim, mut empty) = self.recorded();
        empty.dispatch(claim)
    }
}

/// One life of an agent.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Agent {
    pub(super) life: Life,
    pub(super) configured: bool,
    pub(super) serving: bool,
    pub(super) claims: BTreeMap<Key, Progress>,
    ledger: KeyLedger,
}

impl Agent {
    /// Returns an agent that starts without state; keys are known for two steps of the clock.
    pub(super) fn start(times: &Times, life: Life, capacity: usize, step: Step) -> Self {
        let retention: Duration = times.step() * 2;
        let settings = KeySettings { retention, capacity, ..KeySettings::default() };
        let ledger = KeyLedger::new(TARGET.to_owned(), life, settings, times.steady(step));
        Self { life, configured: false, serving: true, claims: BTreeMap::new(), ledger }
    }

    /// Decides on a call as the agent's handler does, with the time that it read at `step`.
    pub(super) fn begin(&mut self, call: &Call, step: Step) -> Option<Refusal> {
        let now = call.times.now(step);
        let mut admission = AdmissionController::new(AdmissionSettings::default(), now);
        admission.set_phase(if self.serving { Phase::Serving } else { Phase::OutOfService });
        let open = admission.check_phase().map_err(|refusal| refusal.reason);
        match self.ledger.begin(&call.key, &FINGERPRINT, open, now) {
            CallDecision::Run(_claim) => {
                self.claims.insert(call.number, Progress::Recorded);
                None
            }
            CallDecision::Wait | CallDecision::Replay(_) => None,
            CallDecision::Refuse(refusal) => Some(refusal),
        }
    }

    /// Returns whether the ledger holds nothing of the call's key.
    pub(super) fn has_forgotten(&self, call: &Call) -> bool {
        self.ledger.state(call.key.id).is_none()
    }

    /// Replaces the ledger by one that knows nothing.
    pub(super) fn reset_ledger(&mut self, times: &Times, capacity: usize) {
        self.ledger = Self::start(times, self.life, capacity, 0).ledger;
    }

    /// Records that the call is about to be sent.
    pub(super) fn dispatch(&mut self, call: &Call) {
        let _claim = self.ledger.dispatch(call.recorded().0);
        self.claims.insert(call.number, Progress::Dispatched);
    }

    /// Gives a claim up before its call was sent.
    pub(super) fn abandon(&mut self, call: &Call) -> Refusal {
        self.claims.remove(&call.number);
        self.ledger.abandon(call.recorded().0, Reason::DeadlineExceeded)
    }

    /// Records that nothing was sent.
    pub(super) fn unsent(&mut self, call: &Call) -> Refusal {
        self.claims.remove(&call.number);
        self.ledger.record_unsent(call.dispatched(), Reason::TargetFailed)
    }

    /// Records the answer of the application.
    pub(super) fn answer(&mut self, call: &Call) {
        self.claims.remove(&call.number);
        let answer = Answer { status: 200, media_type: String::new(), body: Some([].into()) };
        self.ledger.record_answer(call.dispatched(), answer);
    }

    /// Records that the answer was lost.
    pub(super) fn lose(&mut self, call: &Call) -> Refusal {
        self.claims.remove(&call.number);
        self.ledger.record_lost(call.dispatched())
    }
}
