//! Successor function of the configuration model.

use super::{
    documents::Document,
    process::{Agent, ProcessConfig, TargetFreshness, admits},
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
    /// A process adopts different content of its active revision.
    AdoptSameRevision,
    /// A process compares only revisions, so it does not detect conflicting content.
    CompareRevisionsOnly,
    /// A process keeps the first document that it receives.
    KeepFirst,
    /// An agent that was serving when it last read its target keeps that phase instead of
    /// determining it anew.
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
    /// The active revision of a process never decreases.
    RevisionDecreased,
    /// The content of a revision that is active at a process never changes.
    ContentChanged,
    /// A process that is offered different content of its revision reports a conflict.
    ConflictUnreported,
    /// A process that is offered a valid revision higher than its active one activates it.
    HigherRevisionIgnored,
    /// A target starts no new work once its agent knows that it is out of service.
    WorkStartedOutOfService,
    /// After a start or a long pause, no work starts until the agent has read its target and a
    /// valid document has reached it.
    WorkStartedUnconfirmed,
}

/// Transitions of the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// An operator publishes a document.
    Publish(Document),
    /// A published document of any revision reaches a process from the configuration service or
    /// from another process. This may happen at any time and repeatedly.
    Offer(usize, Document),
    /// A process crashes and restarts without state.
    RestartProcess(usize),
    /// The agent resumes after a pause longer than `STALE_AFTER`.
    ResumeAgent,
    /// The agent's monitor, a periodic task, runs and detects a preceding long pause.
    MonitorTick,
    /// The agent finishes reading the state of its target.
    ReadTarget,
    /// Work reaches the agent.
    ReceiveWork,
}

/// State of the configuration model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    /// Documents published so far, in the order of [`Document`].
    published: Vec<Document>,
    /// Active configuration of each process; the first process is the agent.
    configs: Vec<ProcessConfig>,
    agent: Agent,
    target_freshness: TargetFreshness,
    /// Whether, to an outside observer, a valid document has reached the agent since it started or
    /// last paused for long.
    config_confirmed: bool,
    /// Number of process restarts so far.
    restarts: u8,
    /// Invariants violated by any event on the way to this state.
    violations: BTreeSet<Invariant>,
}

/// Bounds of the configuration model.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Number of processes: the first is the agent, the others are entries.
    pub processes: usize,
    /// Maximum number of restarts, of all processes together.
    pub restarts: u8,
}

impl Bounds {
    /// One agent, one entry and two restarts.
    ///
    /// A published document may reach each process at any time, whatever is active at the others,
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
        // The clock does not advance in this model. The duration of a step is only the time that
        // work has left, which must not be zero.
        Self { variant, bounds, clock: StepClock::new(Duration::from_secs(1)), bundles }
    }

    fn has_variant(&self, variant: Variant) -> bool {
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
            events.extend((0..self.bounds.processes).map(Event::RestartProcess));
        }
        events.extend([
            Event::ResumeAgent,
            Event::MonitorTick,
            Event::ReadTarget,
            Event::ReceiveWork,
        ]);
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
            Event::RestartProcess(process) => {
                next.configs[process] = ProcessConfig::default();
                next.restarts += 1;
                if process == 0 {
                    next.agent = Agent::start();
                    next.target_freshness = TargetFreshness::AwaitingRead;
                    next.config_confirmed = false;
                }
            }
            Event::ResumeAgent => {
                next.agent.pause_undetected = !self.has_variant(Variant::IgnorePause);
                next.target_freshness = TargetFreshness::PauseUndetected;
                next.config_confirmed = false;
            }
            Event::MonitorTick => {
                next.agent.run_monitor(&state.configs[0]);
                next.agent.awaits_config &= !self.has_variant(Variant::TrustStaleConfig);
                if next.target_freshness == TargetFreshness::PauseUndetected {
                    next.target_freshness = TargetFreshness::AwaitingRead;
                }
            }
            Event::ReadTarget => {
                next.agent.read_target(&state.configs[0]);
                if next.target_freshness == TargetFreshness::AwaitingRead {
                    next.target_freshness = TargetFreshness::Current;
                }
            }
            Event::ReceiveWork => self.receive_work(&mut next),
        }
        next
    }

    fn offer(&self, state: &mut State, process: usize, document: Document) {
        let before = state.configs[process].bundle();
        let config = &mut state.configs[process];
        let accepted = self.offer_or_apply_fault(config, before.as_ref(), &self.bundles[&document]);
        if process == 0 && accepted {
            state.agent.awaits_config = false;
            state.config_confirmed = true;
        }
        let Some(before) = before else { return };
        let conflict_reported = matches!(config.0.last_error(), Some(ConfigError::Conflict(_)));
        let violation = offer_violation(
            &before,
            &self.bundles[&document],
            config.bundle().as_ref(),
            conflict_reported,
        );
        // Offers of the malformed document are not judged: a process must ignore it, although its
        // revision may be higher than the active one.
        state.violations.extend(violation.filter(|_| document != Document::Malformed));
    }

    /// Offers a document to a process, or applies the variant's fault. Returns whether the process
    /// accepts the document as valid and free of conflict.
    fn offer_or_apply_fault(
        &self,
        config: &mut ProcessConfig,
        in_force: Option<&Bundle>,
        offered: &Bundle,
    ) -> bool {
        let current_revision = in_force.map_or(0, |bundle| bundle.revision);
        match self.variant {
            Variant::AdoptAny => *config = ProcessConfig::default(),
            Variant::KeepFirst if in_force.is_some() => return true,
            Variant::CompareRevisionsOnly if current_revision == offered.revision => return true,
            _ => {}
        }
        let result = config.0.offer(offered.clone());
        if self.has_variant(Variant::AdoptSameRevision)
            && matches!(result, Err(ConfigError::Conflict(_)))
        {
            *config = ProcessConfig::default();
            let _ = config.0.offer(offered.clone());
        }
        result.is_ok()
    }

    fn receive_work(&self, state: &mut State) {
        let config = &state.configs[0];
        let phase = if self.has_variant(Variant::CachePhase) && state.agent.was_serving {
            Phase::Serving
        } else {
            state.agent.phase(config)
        };
        if !admits(&self.clock, phase) {
            return;
        }
        if config.is_out_of_service() {
            state.violations.insert(Invariant::WorkStartedOutOfService);
        }
        if state.target_freshness != TargetFreshness::Current || !state.config_confirmed {
            state.violations.insert(Invariant::WorkStartedUnconfirmed);
        }
    }
}

/// Returns the invariant, if any, that the handling of an offer violates: `before` was active at
/// the process, it was offered `offered`, and now `after` is active. `conflict_reported` says
/// whether it reported a conflict.
fn offer_violation(
    before: &Bundle,
    offered: &Bundle,
    after: Option<&Bundle>,
    conflict_reported: bool,
) -> Option<Invariant> {
    let revision = after.map_or(0, |after| after.revision);
    if revision < before.revision {
        return Some(Invariant::RevisionDecreased);
    }
    if revision < offered.revision {
        return Some(Invariant::HigherRevisionIgnored);
    }
    if revision == before.revision && after != Some(before) {
        return Some(Invariant::ContentChanged);
    }
    let content_differs = offered.revision == before.revision && offered != before;
    (content_differs && !conflict_reported).then_some(Invariant::ConflictUnreported)
}

impl Model for ConfigModel {
    type State = State;
    type Event = Event;
    type Invariant = Invariant;

    fn initial_state(&self) -> State {
        State {
            published: vec![Document::Initial],
            configs: vec![ProcessConfig::default(); self.bounds.processes],
            agent: Agent::start(),
            target_freshness: TargetFreshness::AwaitingRead,
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
