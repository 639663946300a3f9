//! Successor function of the model of keys.

use super::{
    agent::{Agent, Call, Progress},
    state::{Act, Event, Invariant, Key, Life, Observed, Slot, State},
};
use crate::{
    clock::{Step, Times},
    search::Model,
};
use fulmarhead_lib::outcome::{Outcome, Reason, Refusal};
use std::{collections::BTreeSet, time::Duration};
use strum::{Display, EnumIter};

/// The protocol, or one deliberate fault in a decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum Variant {
    /// The protocol.
    Protocol,
    /// An agent runs the keys of other agents and lives.
    RunKeysOfOthers,
    /// An agent that starts takes the life of the one before it.
    KeepLife,
    /// The ledger trusts the time that a delayed handler read.
    TrustLateTime,
    /// A lost answer is recorded as a call that was not sent.
    LoseAsUnsent,
    /// An entry says "not run" of a call that it refuses before it asks the owner.
    RefuseAtEntry,
    /// An agent without configuration says "not run".
    RefuseUnconfigured,
    /// An agent that shuts down says "not run" to callers that wait for a key.
    RefuseWaiting,
}

/// Size of a model of keys.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Keys.
    pub keys: Key,
    /// Lives of agents in all.
    pub lives: Life,
    /// Changes of service.
    pub toggles: u8,
    /// Last step of the clock; keys are known for two steps.
    pub steps: Step,
    /// Most keys of a ledger.
    pub capacity: usize,
}

impl Bounds {
    /// One key, an agent, a second one beside it or in its place, and a third one.
    pub const ONE_KEY: Self = Self { keys: 1, lives: 3, toggles: 2, steps: 3, capacity: 1 };
    /// Two keys and room for one, two agents.
    pub const TWO_KEYS: Self = Self { keys: 2, lives: 2, toggles: 1, steps: 1, capacity: 1 };
    /// The smallest size that shows each fault.
    pub const FAULTS: Self = Self { keys: 1, lives: 2, toggles: 1, steps: 3, capacity: 1 };
}

/// The model of keys.
#[derive(Clone, Copy, Debug)]
pub struct KeysModel {
    variant: Variant,
    bounds: Bounds,
    times: Times,
}

impl KeysModel {
    /// Returns the model of a variant.
    pub fn new(variant: Variant, bounds: Bounds) -> Self {
        Self { variant, bounds, times: Times::new(Duration::from_secs(300)) }
    }

    fn is(&self, variant: Variant) -> bool {
        self.variant == variant
    }

    /// Returns the call with a key; `None` before the key is issued.
    fn call(&self, state: &State, key: Key) -> Option<Call> {
        let (life, issued) = state.keys[usize::from(key)].issued?;
        Some(Call::new(self.times, key, life, issued))
    }

    fn start_agent(&self, state: &mut State, slot: Slot) {
        state.lives += 1;
        let life = if self.is(Variant::KeepLife) { 1 } else { state.lives };
        let agent = Agent::start(&self.times, life, self.bounds.capacity, state.time);
        state.agents[slot] = Some(agent);
    }

    fn events(&self, state: &State) -> Vec<Event> {
        let mut events = Vec::new();
        for key in 0..self.bounds.keys {
            match state.keys[usize::from(key)].issued {
                None => events.extend((1..=state.lives).map(|life| Event::Issue(key, life))),
                Some(_) => events.push(Event::RefuseAtEntry(key)),
            }
        }
        events.extend(state.calls.iter().map(|&(key, life)| Event::TakeEffect(key, life)));
        for (slot, agent) in state.agents.iter().enumerate() {
            match agent {
                Some(agent) => self.agent_events(state, slot, agent, &mut events),
                None if state.lives < self.bounds.lives => events.push(Event::Start(slot)),
                None => {}
            }
        }
        if state.time < self.bounds.steps {
            events.push(Event::Tick);
        }
        events
    }

    fn agent_events(&self, state: &State, slot: Slot, agent: &Agent, events: &mut Vec<Event>) {
        events.push(Event::Crash(slot));
        if !agent.configured {
            events.push(Event::Configure(slot));
        }
        if state.toggles < self.bounds.toggles {
            events.push(Event::Toggle(slot));
        }
        for (key, observed) in (0..).zip(&state.keys) {
            if observed.issued.is_some() {
                let acts = acts(agent.claims.get(&key), state.time);
                events.extend(acts.iter().map(|&act| Event::Act(slot, key, act)));
            }
        }
    }

    fn apply(&self, state: &State, event: Event) -> Option<State> {
        let mut next = state.clone();
        match event {
            Event::Issue(key, life) => {
                next.keys[usize::from(key)].issued = Some((life, next.time));
            }
            Event::RefuseAtEntry(key) => {
                let refusal = Refusal::not_run(Reason::TeamLimit);
                let wrong = self.is(Variant::RefuseAtEntry);
                observe(&mut next, key, if wrong { refusal } else { refusal.without_ledger() });
            }
            Event::Act(slot, key, act) => {
                let call = self.call(state, key)?;
                if let Some(refusal) = self.act(&mut next, slot, call, act) {
                    observe(&mut next, key, refusal);
                }
            }
            Event::TakeEffect(key, life) => take_effect(&mut next, key, life),
            Event::Crash(slot) => next.agents[slot] = None,
            Event::Start(slot) => self.start_agent(&mut next, slot),
            Event::Configure(slot) => next.agents[slot].as_mut()?.configured = true,
            Event::Toggle(slot) => {
                let agent = next.agents[slot].as_mut()?;
                agent.serving = !agent.serving;
                next.toggles += 1;
            }
            Event::Tick => next.time += 1,
        }
        Some(next)
    }

    /// Lets an agent act on a call; returns what it tells the callers.
    fn act(&self, state: &mut State, slot: Slot, call: Call, act: Act) -> Option<Refusal> {
        let step = state.time;
        let agent = state.agents[slot].as_mut()?;
        match act {
            Act::Receive => return self.receive(agent, call, step, 0),
            Act::ReceiveLate => return self.receive(agent, call, step, 1),
            Act::StopWaiting if self.is(Variant::RefuseWaiting) => {
                return Some(Refusal::not_run(Reason::ShuttingDown));
            }
            Act::StopWaiting => return Some(Refusal::unknown(Reason::ShuttingDown)),
            Act::Abandon => return Some(agent.abandon(&call)),
            Act::FailToConnect => return Some(agent.unsent(&call)),
            Act::LoseAnswer if self.is(Variant::LoseAsUnsent) => return Some(agent.unsent(&call)),
            Act::LoseAnswer => return Some(agent.lose(&call)),
            Act::Dispatch => agent.dispatch(&call),
            Act::Answer => agent.answer(&call),
            Act::Transmit => {
                agent.claims.insert(call.number(), Progress::Transmitted);
                state.calls.insert((call.number(), agent.life));
            }
        }
        None
    }

    fn receive(&self, agent: &mut Agent, call: Call, step: Step, late: Step) -> Option<Refusal> {
        if !agent.configured {
            let refusal = Refusal::not_run(Reason::NoConfiguration);
            let wrong = self.is(Variant::RefuseUnconfigured);
            return Some(if wrong { refusal } else { refusal.without_ledger() });
        }
        let call = if self.is(Variant::RunKeysOfOthers) { call.of(agent.life) } else { call };
        if self.is(Variant::TrustLateTime) && late > 0 && agent.has_forgotten(&call) {
            agent.reset_ledger(&self.times, self.bounds.capacity);
        }
        agent.begin(&call, step - late)
    }
}

/// Returns what an agent may do with a call, by the progress of the claim that it holds.
fn acts(progress: Option<&Progress>, time: Step) -> Vec<Act> {
    let mut acts = vec![Act::Receive];
    if time > 0 {
        acts.push(Act::ReceiveLate);
    }
    if progress.is_some() {
        acts.push(Act::StopWaiting);
    }
    match progress {
        None => {}
        Some(Progress::Recorded) => acts.extend([Act::Dispatch, Act::Abandon]),
        Some(Progress::Dispatched) => acts.extend([Act::Transmit, Act::FailToConnect]),
        Some(Progress::Transmitted) => acts.push(Act::LoseAnswer),
        Some(Progress::Ran) => acts.extend([Act::Answer, Act::LoseAnswer]),
    }
    acts
}

fn observe(state: &mut State, key: Key, refusal: Refusal) {
    if refusal.outcome == Outcome::NotRun {
        state.keys[usize::from(key)].refuse();
    }
}

fn take_effect(state: &mut State, key: Key, life: Life) {
    state.calls.remove(&(key, life));
    state.keys[usize::from(key)].take_effect();
    for agent in state.agents.iter_mut().flatten().filter(|agent| agent.life == life) {
        if let Some(progress) = agent.claims.get_mut(&key) {
            *progress = Progress::Ran;
        }
    }
}

impl Model for KeysModel {
    type State = State;
    type Event = Event;
    type Invariant = Invariant;

    fn start(&self) -> State {
        let mut state = State {
            time: 0,
            keys: vec![Observed::default(); usize::from(self.bounds.keys)],
            agents: [None, None],
            lives: 0,
            toggles: 0,
            calls: BTreeSet::new(),
        };
        self.start_agent(&mut state, 0);
        state.agents.iter_mut().flatten().for_each(|agent| agent.configured = true);
        state
    }

    fn successors(&self, state: &State) -> Vec<(Event, State)> {
        let events = self.events(state).into_iter();
        events.filter_map(|event| Some((event, self.apply(state, event)?))).collect()
    }

    fn broken(&self, state: &State) -> Vec<Invariant> {
        state.keys.iter().flat_map(Observed::broken).collect()
    }
}
