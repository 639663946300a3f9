//! State and events of the idempotency-key model.

use super::agent::Agent;
use crate::clock::Step;
use std::collections::BTreeSet;
use strum::{Display, EnumIter};

/// Index of an idempotency key.
pub type KeyIndex = u8;
/// Index of an agent of the only target. Two agents may run at once, or one replaces the other.
pub type AgentIndex = usize;
/// Incarnation number of an agent; every process start gets a new one.
pub type Incarnation = u64;

/// Invariants of idempotency keys. Each variant is named after the violation of its rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum Invariant {
    /// A call with a key takes effect at most once.
    TookEffectTwice,
    /// No caller receives "not run" for a key that has taken effect.
    NotRunAfterEffect,
    /// A key does not take effect after a caller received "not run" for it.
    EffectAfterNotRun,
}

/// Transitions of the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// An entry issues a key for the incarnation in the last agent report that it received, which
    /// may be outdated.
    IssueKey(KeyIndex, Incarnation),
    /// An entry refuses a call with the key without contacting the key's owner, the agent
    /// incarnation that it was issued for.
    RefuseAtEntry(KeyIndex),
    /// An agent performs an action on a call.
    AgentAction(AgentIndex, KeyIndex, AgentAction),
    /// The call that an agent incarnation sent reaches the application and takes effect.
    TakeEffect(KeyIndex, Incarnation),
    /// The agent crashes.
    CrashAgent(AgentIndex),
    /// An agent starts without state.
    StartAgent(AgentIndex),
    /// The agent receives its first configuration.
    ConfigureAgent(AgentIndex),
    /// One agent learns that the target goes out of service or back into service.
    ToggleService(AgentIndex),
    /// Time advances by one step.
    Tick,
}

/// Action of an agent on a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AgentAction {
    /// The agent receives the call. Any entry may send it, at any time and any number of times.
    ReceiveCall,
    /// The agent receives the call, and its handler read the clock one step ago.
    ReceiveCallDelayed,
    /// The agent is about to shut down and refuses the callers that wait for the key.
    RefuseWaiters,
    /// The deadline passes before dispatch, and the agent abandons the claim.
    AbandonClaim,
    /// The agent records that it is about to send the call to the application.
    RecordDispatch,
    /// The agent fails to connect to the application.
    FailToConnect,
    /// The agent sends the call to the application.
    SendCall,
    /// The agent receives the application's response.
    ReceiveResponse,
    /// The connection breaks or the deadline passes before the response arrives.
    LoseResponse,
}

/// History of one key, as an observer of the whole system sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct KeyHistory {
    /// Incarnation that the key was issued for and time of issue; `None` before it is issued.
    pub(super) issued: Option<(Incarnation, Step)>,
    /// Number of times that the key took effect.
    pub(super) effects: u8,
    /// Whether a caller received "not run".
    pub(super) not_run: bool,
    /// Whether a caller received "not run" after the key took effect.
    pub(super) false_refusal: bool,
    /// Whether the key took effect after a caller received "not run".
    pub(super) late_effect: bool,
}

impl KeyHistory {
    /// Records that the key takes effect, and whether a caller received "not run" before.
    pub(super) fn record_effect(&mut self) {
        self.effects += 1;
        self.late_effect |= self.not_run;
    }

    /// Records that a caller receives "not run", and whether the key took effect before.
    pub(super) fn record_not_run(&mut self) {
        self.not_run = true;
        self.false_refusal |= self.effects > 0;
    }

    /// Returns the invariants that this history violates.
    pub(super) fn violations(&self) -> Vec<Invariant> {
        let mut violations = Vec::new();
        if self.effects > 1 {
            violations.push(Invariant::TookEffectTwice);
        }
        if self.false_refusal {
            violations.push(Invariant::NotRunAfterEffect);
        }
        if self.late_effect {
            violations.push(Invariant::EffectAfterNotRun);
        }
        violations
    }
}

/// State of the idempotency-key model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    pub(super) time: Step,
    pub(super) keys: Vec<KeyHistory>,
    pub(super) agents: [Option<Agent>; 2],
    /// Number of agent incarnations started so far.
    pub(super) incarnations: Incarnation,
    /// Number of times so far that an agent learned that the target goes out of service or back.
    pub(super) service_toggles: u8,
    /// Calls in flight to the application. The connection is TCP and the agent's client never
    /// retries, so each call arrives at most once.
    pub(super) in_flight: BTreeSet<(KeyIndex, Incarnation)>,
}
