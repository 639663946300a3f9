//! Successor function of the model of configuration.

use super::{
    documents::Document,
    process::{Agent, Freshness, View, admits},
};
use crate::{clock::Times, search::Model};
use fulmarhead_lib::{
    admission::Phase,
    config::{Bundle, ConfigError},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};
use strum::{Display, EnumIter, IntoEnumIterator};

/// The protocol, or one deliberate fault in a decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum Variant {
    /// The protocol.
    Protocol,
    /// A process adopts any document that it is offered.
    AdoptAny,
    /// A process adopts other content of the revision in force.
    AdoptSameRevision,
    /// A process compares revisions only, so that a conflict is not noticed.
    CompareRevisions,
    /// A process keeps the first document that it gets.
    KeepFirst,
    /// The agent decides its phase only when it looks at its target.
    KeepPhase,
    /// The agent does not notice that it was paused.
    IgnorePause,
    /// After a pause, the agent reads its target and trusts its old configuration.
    TrustOldConfiguration,
}

/// Guarantees of configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum Invariant {
    /// The revision in force at a process never goes down.
    RevisionFell,
    /// The content of a revision in force at a process never changes.
    ContentChanged,
    /// A process that is offered other content of its revision reports it.
    ConflictHidden,
    /// A process that is offered the highest valid revision has it in force.
    HighestIgnored,
    /// A target out of service starts nothing new once its agent knows.
    StartedOutOfService,
    /// After a long pause nothing starts before the agent has looked at its target and a
    /// configuration has reached it.
    StartedAfterPause,
}

/// What happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// An operator publishes a document.
    Publish(Document),
    /// A published document reaches a process, from the service or from another process, however
    /// old it is.
    Offer(usize, Document),
    /// A process dies and starts without state.
    Restart(usize),
    /// The agent wakes after a long pause.
    Wake,
    /// The agent's monitor ticks and notices a pause.
    Tick,
    /// The agent reads its target.
    Read,
    /// Work reaches the agent.
    Work,
}

/// State of the model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    published: Vec<Document>,
    views: Vec<View>,
    agent: Agent,
    freshness: Freshness,
    /// Whether a valid document has reached the agent since its start or its last long pause.
    compared: bool,
    restarts: u8,
    broken: BTreeSet<Invariant>,
}

/// Size of a model of configuration.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Processes; the first one is the agent, the others are entries.
    pub processes: usize,
    /// Restarts of processes in all.
    pub restarts: u8,
}

impl Bounds {
    /// The agent and an entry, two restarts.
    ///
    /// A published document may reach each process at any time, whatever the others have, so that
    /// a second entry would add nothing but states.
    pub const TWO_PROCESSES: Self = Self { processes: 2, restarts: 2 };
}

/// The model of configuration.
#[derive(Clone, Debug)]
pub struct ConfigModel {
    variant: Variant,
    bounds: Bounds,
    times: Times,
    bundles: BTreeMap<Document, Bundle>,
}

impl ConfigModel {
    /// Returns the model of a variant.
    pub fn new(variant: Variant, bounds: Bounds) -> Self {
        let bundles = Document::iter().map(|document| (document, document.bundle())).collect();
        Self { variant, bounds, times: Times::new(Duration::from_secs(1)), bundles }
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
            } else if document.may_follow(&state.published) {
                events.push(Event::Publish(document));
            }
        }
        if state.restarts < self.bounds.restarts {
            events.extend((0..self.bounds.processes).map(Event::Restart));
        }
        events.extend([Event::Wake, Event::Tick, Event::Read, Event::Work]);
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
                    next.freshness = Freshness::Ticked;
                    next.compared = false;
                }
            }
            Event::Wake => {
                next.agent.silent = !self.is(Variant::IgnorePause);
                next.freshness = Freshness::Woken;
                next.compared = false;
            }
            Event::Tick => {
                next.agent.tick(&state.views[0]);
                next.agent.unsynced &= !self.is(Variant::TrustOldConfiguration);
                if next.freshness == Freshness::Woken {
                    next.freshness = Freshness::Ticked;
                }
            }
            Event::Read => {
                next.agent.read(&state.views[0]);
                if next.freshness == Freshness::Ticked {
                    next.freshness = Freshness::Current;
                }
            }
            Event::Work => self.work(&mut next),
        }
        next
    }

    fn offer(&self, state: &mut State, process: usize, document: Document) {
        let before = state.views[process].bundle();
        let view = &mut state.views[process];
        let valid = self.adopt(view, before.as_ref(), &self.bundles[&document]);
        if process == 0 && valid {
            state.agent.unsynced = false;
            state.compared = true;
        }
        let Some(before) = before else { return };
        let conflict = matches!(view.0.last_error(), Some(ConfigError::Conflict(_)));
        let broken = compare(&before, &self.bundles[&document], view.bundle().as_ref(), conflict);
        state.broken.extend(broken.filter(|_| document != Document::Broken));
    }

    /// Lets a process decide on a document, or makes the variant's fault; returns whether the
    /// document is valid and does not contradict the one in force.
    fn adopt(&self, view: &mut View, before: Option<&Bundle>, offered: &Bundle) -> bool {
        let known = before.map_or(0, |known| known.revision);
        match self.variant {
            Variant::AdoptAny => *view = View::default(),
            Variant::KeepFirst if before.is_some() => return true,
            Variant::CompareRevisions if known == offered.revision => return true,
            _ => {}
        }
        let result = view.0.offer(offered.clone());
        if self.is(Variant::AdoptSameRevision) && matches!(result, Err(ConfigError::Conflict(_))) {
            *view = View::default();
            let _ = view.0.offer(offered.clone());
        }
        result.is_ok()
    }

    fn work(&self, state: &mut State) {
        let view = &state.views[0];
        let phase = if self.is(Variant::KeepPhase) && state.agent.served {
            Phase::Serving
        } else {
            state.agent.phase(view)
        };
        if !admits(&self.times, phase) {
            return;
        }
        if view.is_out() {
            state.broken.insert(Invariant::StartedOutOfService);
        }
        if state.freshness != Freshness::Current || !state.compared {
            state.broken.insert(Invariant::StartedAfterPause);
        }
    }
}

/// Returns the guarantee that a process breaks that had `before` in force and has `after` since
/// `offered` reached it.
fn compare(
    before: &Bundle,
    offered: &Bundle,
    after: Option<&Bundle>,
    conflict: bool,
) -> Option<Invariant> {
    let revision = after.map_or(0, |after| after.revision);
    if revision < before.revision {
        return Some(Invariant::RevisionFell);
    }
    if revision < offered.revision {
        return Some(Invariant::HighestIgnored);
    }
    if revision == before.revision && after != Some(before) {
        return Some(Invariant::ContentChanged);
    }
    let differs = offered.revision == before.revision && offered != before;
    (differs && !conflict).then_some(Invariant::ConflictHidden)
}

impl Model for ConfigModel {
    type State = State;
    type Event = Event;
    type Invariant = Invariant;

    fn start(&self) -> State {
        State {
            published: vec![Document::First],
            views: vec![View::default(); self.bounds.processes],
            agent: Agent::start(),
            freshness: Freshness::Ticked,
            compared: false,
            restarts: 0,
            broken: BTreeSet::new(),
        }
    }

    fn successors(&self, state: &State) -> Vec<(Event, State)> {
        let events = self.events(state).into_iter();
        events.map(|event| (event, self.apply(state, event))).collect()
    }

    fn broken(&self, state: &State) -> Vec<Invariant> {
        state.broken.iter().copied().collect()
    }
}
