//! State and events of the model of keys.

use super::agent::Agent;
use crate::clock::Step;
use std::collections::BTreeSet;
use strum::{Display, EnumIter};

/// Number of a key.
pub type Key = u8;
/// Number of an agent of the one target: a process that runs, or one that takes its place.
pub type Slot = usize;
/// Life of an agent; each start of a process has another number.
pub type Life = u64;

/// Guarantees of keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum Invariant {
    /// A call with a key takes effect at most once.
    AtMostOnce,
    /// "Not run" is not said of a key that took effect before.
    NotRunAfterEffect,
    /// A key of which "not run" was said does not take effect after it.
    EffectAfterNotRun,
}

/// What happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// An entry issues a key for the life that it knows from a report, which may be old.
    Issue(Key, Life),
    /// An entry refuses a call with the key before it asks the owner.
    RefuseAtEntry(Key),
    /// An agent does something with a call.
    Act(Slot, Key, Act),
    /// The call of an agent's life reaches the application and takes effect.
    TakeEffect(Key, Life),
    /// The agent dies.
    Crash(Slot),
    /// An agent starts without state.
    Start(Slot),
    /// The agent gets its first configuration.
    Configure(Slot),
    /// The target goes out of service or returns.
    Toggle(Slot),
    /// Time passes.
    Tick,
}

/// What an agent does with a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Act {
    /// The call reaches the agent. Any entry may send it, at any time and any number of times.
    Receive,
    /// As above, and the handler read the clock one step ago.
    ReceiveLate,
    /// The agent shuts down and tells this to the callers that wait for the key.
    StopWaiting,
    /// The deadline has passed before dispatch.
    Abandon,
    /// The agent records that it is about to send the call to the application.
    Dispatch,
    /// The connection to the application can't be set up.
    FailToConnect,
    /// The call leaves the agent.
    Transmit,
    /// The answer of the application reaches the agent.
    Answer,
    /// The connection breaks or the deadline passes before the answer is there.
    LoseAnswer,
}

/// One key as an observer of the whole system sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Observed {
    /// Life and time of issue, once it is issued.
    pub(super) issued: Option<(Life, Step)>,
    /// How many times the key took effect.
    pub(super) effects: u8,
    /// Whether "not run" was said.
    pub(super) refused: bool,
    /// Whether "not run" was said after an effect.
    pub(super) refused_late: bool,
    /// Whether the key took effect after "not run" was said.
    pub(super) run_late: bool,
}

impl Observed {
    /// Records that the key takes effect.
    pub(super) fn take_effect(&mut self) {
        self.effects += 1;
        self.run_late |= self.refused;
    }

    /// Records that a caller is told "not run".
    pub(super) fn refuse(&mut self) {
        self.refused = true;
        self.refused_late |= self.effects > 0;
    }

    /// Returns the guarantees that are broken.
    pub(super) fn broken(&self) -> Vec<Invariant> {
        let mut broken = Vec::new();
        if self.effects > 1 {
            broken.push(Invariant::AtMostOnce);
        }
        if self.refused_late {
            broken.push(Invariant::NotRunAfterEffect);
        }
        if self.run_late {
            broken.push(Invariant::EffectAfterNotRun);
        }
        broken
    }
}

/// State of the model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    pub(super) time: Step,
    pub(super) keys: Vec<Observed>,
    pub(super) agents: [Option<Agent>; 2],
    /// Lives that were started.
    pub(super) lives: Life,
    /// Changes of service that were made.
    pub(super) toggles: u8,
    /// Calls on the way to the application. The connection is TCP and the agent's client never
    /// repeats a call, so that each arrives once or not at all.
    pub(super) calls: BTreeSet<(Key, Life)>,
}
