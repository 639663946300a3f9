//! Successor function of the configuration model.

use super::{
    documents::Document,
    process::{Agent, TargetFreshness, View, admits},
};
use crate::{clock::StepClock, search::Model};
use fulmarhead_lib::{
    admission::Phase,
    config::{Bundle, ConfigError},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};
use strum::{Display, EnumIter, IntoEnumIterator};

/// The protocol, or the protocol with one deliberate fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum Variant {
    /// The protocol without a fault.
    Protocol,
    /// A process adopts every document that it is offered.
    AdoptAny,
    /// A process adopts different content of the revision in force.
    AdoptSameRevision,
    /// A process compares only revisions, so it does not detect conflicting content.
    CompareRevisionsOnly,
    /// A process keeps the first document that it receives.
    KeepFirst,
    /// The agent keeps the phase of its last target reading instead of determining it anew.
    CachePhase,
    /// The agent does not detect that it was paused.
    IgnorePause,
    /// After a pause, the agent reads its target but trusts its old configuration.
    TrustStaleConfig,
}

/// Invariants of configuration. Each variant is named after the violation of its rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum Invariant {
    /// The revision in force at a process never decreases.
    RevisionDecreased,
    /// The content of a revision in force at a process never changes.
    ContentChanged,
    /// A process that is offered different content of its revision reports a conflict.
    ConflictUnreported,
    /// A process that is offered the highest valid revision puts it in force.
    HighestRevisionIgnored,
    /// A target starts no new work once its agent knows that it is out of service.
    StartedOutOfService,
    /// After a long pause, no work starts until the agent has read its target and received a
    /// configuration.
    StartedAfterPause,
}

/// Transitions of the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// An operator publishes a document.
    Publish(Document),
    /// A published document reaches a process from the service or from another process, whatever
    /// its revision.
    Offer(usize, Document),
    /// A process crashes and restarts without state.
    Restart(usize),
    /// The agent resumes after a long pause.
    Resume,
    /// The agent's monitor ticks and detects a preceding pause.
    MonitorTick,
    /// The agent reads its target.
    ReadTarget,
    /// Work reaches the agent.
    ReceiveWork,
}

/// State of the configuration model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    published: Vec<Document>,
    views: Vec<View>,
    agent: Agent,
    freshness: TargetFreshness,
    /// Whether a valid document has reached the agent since it started or last paused for long.
    config_confirmed: bool,
    restarts: u8,
    violations: BTreeSet<Invariant>,
}

/// Bounds of the configuration model.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Number of processes: the first is the agent, the others are entries.
    pub processes: usize,
    /// Total number of process restarts.
    pub restarts: u8,
}

impl Bounds {
    /// One agent, one entry and two restarts.
    ///
    /// A published document may reach each process at any time, whatever the others have in force,
    /// so a second entry would add states but no new behaviour.
    pub const TWO_PROCESSES: Self = Self { processes: 2, restarts: 2 };
}

/// Model of how configuration reaches an agent and entries.
#[derive(Clone, Debug)]
pub struct ConfigModel {
    variant: Variant,
    bounds: Bounds,
    clock: StepClock,
    bundles: BTreeMap<Document, Bundle>,
}

impl ConfigModel {
    /// Returns the model of `variant` within `bounds`.
    pub fn new(variant: Variant, bounds: Bounds) -> Self {
        let bundles = Document::iter().map(|document| (document, document.bundle())).collect();
        Self { variant, bounds, clock: StepClock::new(Duration::from_secs(1)), bundles }
    }

    fn is(&self, variant: Variant) -> bool {
        self.variant == variant
    }

    fn events(&self, state: &State) -> Vec<Event> {
        let mut events = Vec::new();
        for document in Document::iter() {
            if state.published.contains(&document) {
                let processes = 0..self.bounds.processes;
                events.extend(processes.map(|process| Event::Offer(process, document)));
            } else if document.can_follow(&state.published) {
                events.push(Event::Publish(document));
            }
        }
        if state.restarts < self.bounds.restarts {
            events.extend((0..self.bounds.processes).map(Event::Restart));
        }
        events.extend([Event::Resume, Event::MonitorTick, Event::ReadTarget, Event::ReceiveWork]);
        events
    }

    fn apply(&self, state: &State, event: Event) -> State {
        let mut next = state.clone();
        match event {
            Event::Publish(document) => {
                next.published.push(document);
                next.published.sort();
            }
            Event::Offer(process, document) => self.offer(&mut next, process, document),
            Event::Restart(process) => {
                next.views[process] = View::default();
                next.restarts += 1;
                if process == 0 {
                    next.agent = Agent::start();
                    next.freshness = TargetFreshness::Ticked;
                    next.config_confirmed = false;
                }
            }
            Event::Resume => {
                next.agent.paused = !self.is(Variant::IgnorePause);
                next.freshness = TargetFreshness::Resumed;
                next.config_confirmed = false;
            }
            Event::MonitorTick => {
                next.agent.tick(&state.views[0]);
                next.agent.unsynced &= !self.is(Variant::TrustStaleConfig);
                if next.freshness == TargetFreshness::Resumed {
                    next.freshness = TargetFreshness::Ticked;
                }
            }
            Event::ReadTarget => {
                next.agent.read(&state.views[0]);
                if next.freshness == TargetFreshness::Ticked {
                    next.freshness = TargetFreshness::Current;
                }
            }
            Event::ReceiveWork => self.receive_work(&mut next),
        }
        next
    }

    fn offer(&self, state: &mut State, process: usize, document: Document) {
        let before = state.views[process].bundle();
        let view = &mut state.views[process];
        let valid = self.adopt(view, before.as_ref(), &self.bundles[&document]);
        if process == 0 && valid {
            state.agent.unsynced = false;
            state.config_confirmed = true;
        }
        let Some(before) = before else { return };
        let conflict = matches!(view.0.last_error(), Some(ConfigError::Conflict(_)));
        let violation =
            adoption_violation(&before, &self.bundles[&document], view.bundle().as_ref(), conflict);
        state.violations.extend(violation.filter(|_| document != Document::Malformed));
    }

    /// Offers a document to a process, or applies the variant's fault. Returns whether the document
    /// is valid and does not conflict with the one in force.
    fn adopt(&self, view: &mut View, before: Option<&Bundle>, offered: &Bundle) -> bool {
        let current = before.map_or(0, |before| before.revision);
        match self.variant {
            Variant::AdoptAny => *view = View::default(),
            Variant::KeepFirst if before.is_some() => return true,
            Variant::CompareRevisionsOnly if current == offered.revision => return true,
            _ => {}
        }
        let result = view.0.offer(offered.clone());
        if self.is(Variant::AdoptSameRevision) && matches!(result, Err(ConfigError::Conflict(_))) {
            *view = View::default();
            let _ = view.0.offer(offered.clone());
        }
        result.is_ok()
    }

    fn receive_work(&self, state: &mut State) {
        let view = &state.views[0];
        let phase = if self.is(Variant::CachePhase) && state.agent.was_serving {
            Phase::Serving
        } else {
            state.agent.phase(view)
        };
        if !admits(&self.clock, phase) {
            return;
        }
        if view.is_out_of_service() {
            state.violations.insert(Invariant::StartedOutOfService);
        }
        if state.freshness != TargetFreshness::Current || !state.config_confirmed {
            state.violations.insert(Invariant::StartedAfterPause);
        }
    }
}

/// Returns the invariant that a process violates if it had `before` in force and has `after` in
/// force since it was offered `offered`.
fn adoption_violation(
    before: &Bundle,
    offered: &Bundle,
    after: Option<&Bundle>,
    conflict: bool,
) -> Option<Invariant> {
    let revision = after.map_or(0, |after| after.revision);
    if revision < before.revision {
        return Some(Invariant::RevisionDecreased);
    }
    if revision < offered.revision {
        return Some(Invariant::HighestRevisionIgnored);
    }
    if revision == before.revision && after != Some(before) {
        return Some(Invariant::ContentChanged);
    }
    let differs = offered.revision == before.revision && offered != before;
    (differs && !conflict).then_some(Invariant::ConflictUnreported)
}

impl Model for ConfigModel {
    type State = State;
    type Event = Event;
    type Invariant = Invariant;

    fn initial_state(&self) -> State {
        State {
            published: vec![Document::First],
            views: vec![View::default(); self.bounds.processes],
            agent: Agent::start(),
            freshness: TargetFreshness::Ticked,
            config_confirmed: false,
            restarts: 0,
            violations: BTreeSet::new(),
        }
    }

    fn successors(&self, state: &State) -> Vec<(Event, State)> {
        let events = self.events(state).into_iter();
        events.map(|event| (event, self.apply(state, event))).collect()
    }

    fn violations(&self, state: &State) -> Vec<Invariant> {
        state.violations.iter().copied().collect()
    }
}
