//! Successor function of the idempotency-key model.

use super::{
    agent::{Agent, Call, Progress},
    state::{AgentAction, AgentIndex, Event, Incarnation, Invariant, KeyHistory, KeyIndex, State},
};
use crate::{
    clock::{Step, StepClock},
    search::Model,
};
use fulmarhead_lib::outcome::{Outcome, Reason, Refusal};
use std::{collections::BTreeSet, time::Duration};
use strum::{Display, EnumIter};

/// The protocol, or the protocol with one deliberate fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum Variant {
    /// The protocol without a fault.
    Protocol,
    /// An agent runs calls whose keys were issued for other incarnations.
    IgnoreKeyOwner,
    /// A starting agent reuses the incarnation number of its predecessor.
    ReuseIncarnation,
    /// The ledger trusts the outdated clock reading of a delayed handler.
    TrustStaleTime,
    /// A lost response is recorded as a call that was not sent.
    RecordLostAsUnsent,
    /// An entry reports "not run" for a call that it refuses without contacting the key's owner,
    /// the agent incarnation that it was issued for.
    NotRunAtEntry,
    /// An agent without configuration reports "not run".
    NotRunUnconfigured,
    /// An agent that shuts down reports "not run" to the callers that wait for a key.
    NotRunToWaiters,
}

/// Bounds of the idempotency-key model.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Number of keys.
    pub keys: KeyIndex,
    /// Maximum number of agent incarnations.
    pub incarnations: Incarnation,
    /// Maximum number of times that an agent learns that the target goes out of service or back,
    /// counted over all agents.
    pub service_toggles: u8,
    /// Last step of the clock; keys are retained for two steps.
    pub last_step: Step,
    /// Maximum number of keys in a ledger.
    pub capacity: usize,
}

impl Bounds {
    /// One key and three agent incarnations, of which two may run at once.
    pub const ONE_KEY: Self =
        Self { keys: 1, incarnations: 3, service_toggles: 2, last_step: 3, capacity: 1 };
    /// Two keys, a ledger with room for one, and two agent incarnations.
    pub const TWO_KEYS: Self =
        Self { keys: 2, incarnations: 2, service_toggles: 1, last_step: 1, capacity: 1 };
    /// Bounds within which the search finds the fault of every variant.
    pub const FOR_FAULTS: Self =
        Self { keys: 1, incarnations: 2, service_toggles: 1, last_step: 3, capacity: 1 };
}

/// Model of how calls with idempotency keys are executed.
#[derive(Clone, Copy, Debug)]
pub struct KeysModel {
    variant: Variant,
    bounds: Bounds,
    clock: StepClock,
}

impl KeysModel {
    /// Returns the model of `variant` within `bounds`.
    pub fn new(variant: Variant, bounds: Bounds) -> Self {
        Self { variant, bounds, clock: StepClock::new(Duration::from_secs(300)) }
    }

    fn has_variant(&self, variant: Variant) -> bool {
        self.variant == variant
    }

    /// Returns the call with `key`, or `None` before the key is issued.
    fn call(&self, state: &State, key: KeyIndex) -> Option<Call> {
        let (incarnation, issued) = state.keys[usize::from(key)].issued?;
        Some(Call::new(self.clock, key, incarnation, issued))
    }

    fn start_agent(&self, state: &mut State, index: AgentIndex) {
        state.incarnations += 1;
        let incarnation =
            if self.has_variant(Variant::ReuseIncarnation) { 1 } else { state.incarnations };
        let agent = Agent::start(&self.clock, incarnation, self.bounds.capacity, state.time);
        state.agents[index] = Some(agent);
    }

    fn events(&self, state: &State) -> Vec<Event> {
        let mut events = Vec::new();
        for key in 0..self.bounds.keys {
            match state.keys[usize::from(key)].issued {
                None => events.extend(
                    (1..=state.incarnations).map(|incarnation| Event::IssueKey(key, incarnation)),
                ),
                Some(_) => events.push(Event::RefuseAtEntry(key)),
            }
        }
        events.extend(
            state.in_flight.iter().map(|&(key, incarnation)| Event::TakeEffect(key, incarnation)),
        );
        for (index, agent) in state.agents.iter().enumerate() {
            match agent {
                Some(agent) => self.agent_events(state, index, agent, &mut events),
                None if state.incarnations < self.bounds.incarnations => {
                    events.push(Event::StartAgent(index))
                }
                None => {}
            }
        }
        if state.time < self.bounds.last_step {
            events.push(Event::Tick);
        }
        events
    }

    fn agent_events(
        &self,
        state: &State,
        index: AgentIndex,
        agent: &Agent,
        events: &mut Vec<Event>,
    ) {
        events.push(Event::CrashAgent(index));
        if !agent.configured {
            events.push(Event::ConfigureAgent(index));
        }
        if state.service_toggles < self.bounds.service_toggles {
            events.push(Event::ToggleService(index));
        }
        for (key, history) in (0..).zip(&state.keys) {
            if history.issued.is_some() {
                let actions = possible_actions(agent.claims.get(&key), state.time);
                events.extend(actions.iter().map(|&action| Event::AgentAction(index, key, action)));
            }
        }
    }

    fn apply(&self, state: &State, event: Event) -> Option<State> {
        let mut next = state.clone();
        match event {
            Event::IssueKey(key, incarnation) => {
                next.keys[usize::from(key)].issued = Some((incarnation, next.time));
            }
            Event::RefuseAtEntry(key) => {
                // Only a refusal that is based on the ledger may say "not run".
                let refusal = Refusal::not_run(Reason::TeamLimit);
                let faulty = self.has_variant(Variant::NotRunAtEntry);
                record_if_not_run(
                    &mut next,
                    key,
                    if faulty { refusal } else { refusal.without_ledger() },
                );
            }
            Event::AgentAction(index, key, action) => {
                let call = self.call(state, key)?;
                if let Some(refusal) = self.apply_action(&mut next, index, call, action) {
                    record_if_not_run(&mut next, key, refusal);
                }
            }
            Event::TakeEffect(key, incarnation) => apply_effect(&mut next, key, incarnation),
            Event::CrashAgent(index) => next.agents[index] = None,
            Event::StartAgent(index) => self.start_agent(&mut next, index),
            Event::ConfigureAgent(index) => next.agents[index].as_mut()?.configured = true,
            Event::ToggleService(index) => {
                let agent = next.agents[index].as_mut()?;
                agent.target_in_service = !agent.target_in_service;
                next.service_toggles += 1;
            }
            Event::Tick => next.time += 1,
        }
        Some(next)
    }

    /// Applies an agent's action to a call; returns the refusal that the callers get, if any.
    fn apply_action(
        &self,
        state: &mut State,
        index: AgentIndex,
        call: Call,
        action: AgentAction,
    ) -> Option<Refusal> {
        let step = state.time;
        let agent = state.agents[index].as_mut()?;
        match action {
            AgentAction::ReceiveCall => return self.receive(agent, call, step, 0),
            AgentAction::ReceiveCallDelayed => return self.receive(agent, call, step, 1),
            AgentAction::RefuseWaiters if self.has_variant(Variant::NotRunToWaiters) => {
                return Some(Refusal::not_run(Reason::ShuttingDown));
            }
            AgentAction::RefuseWaiters => return Some(Refusal::unknown(Reason::Interrupted)),
            AgentAction::AbandonClaim => return Some(agent.abandon(&call)),
            AgentAction::FailToConnect => return Some(agent.record_unsent_call(&call)),
            AgentAction::LoseResponse if self.has_variant(Variant::RecordLostAsUnsent) => {
                return Some(agent.record_unsent_call(&call));
            }
            AgentAction::LoseResponse => return Some(agent.record_lost_response(&call)),
            AgentAction::RecordDispatch => agent.record_dispatch(&call),
            AgentAction::ReceiveResponse => agent.record_answer(&call),
            AgentAction::SendCall => {
                agent.claims.insert(call.index(), Progress::Sent);
                state.in_flight.insert((call.index(), agent.incarnation));
            }
        }
        None
    }

    fn receive(
        &self,
        agent: &mut Agent,
        call: Call,
        step: Step,
        delay_steps: Step,
    ) -> Option<Refusal> {
        if !agent.configured {
            let refusal = Refusal::not_run(Reason::NoConfiguration);
            let faulty = self.has_variant(Variant::NotRunUnconfigured);
            return Some(if faulty { refusal } else { refusal.without_ledger() });
        }
        let call = if self.has_variant(Variant::IgnoreKeyOwner) {
            call.with_incarnation(agent.incarnation)
        } else {
            call
        };
        // The ledger refuses an expired key by the latest time that it has seen. An empty ledger
        // has seen none, so it trusts the outdated reading.
        if self.has_variant(Variant::TrustStaleTime) && delay_steps > 0 && agent.is_forgotten(&call)
        {
            agent.reset_ledger(&self.clock, self.bounds.capacity);
        }
        agent.begin_call(&call, step - delay_steps)
    }
}

/// Returns the actions that an agent may take on a call, given the progress of its claim.
fn possible_actions(progress: Option<&Progress>, time: Step) -> Vec<AgentAction> {
    let mut actions = vec![AgentAction::ReceiveCall];
    if time > 0 {
        actions.push(AgentAction::ReceiveCallDelayed);
    }
    if progress.is_some() {
        actions.push(AgentAction::RefuseWaiters);
    }
    match progress {
        None => {}
        Some(Progress::Recorded) => {
            actions.extend([AgentAction::RecordDispatch, AgentAction::AbandonClaim])
        }
        Some(Progress::Dispatched) => {
            actions.extend([AgentAction::SendCall, AgentAction::FailToConnect])
        }
        Some(Progress::Sent) => actions.push(AgentAction::LoseResponse),
        Some(Progress::Executed) => {
            actions.extend([AgentAction::ReceiveResponse, AgentAction::LoseResponse])
        }
    }
    actions
}

fn record_if_not_run(state: &mut State, key: KeyIndex, refusal: Refusal) {
    if refusal.outcome == Outcome::NotRun {
        state.keys[usize::from(key)].record_not_run();
    }
}

fn apply_effect(state: &mut State, key: KeyIndex, incarnation: Incarnation) {
    state.in_flight.remove(&(key, incarnation));
    state.keys[usize::from(key)].record_effect();
    for agent in state.agents.iter_mut().flatten().filter(|agent| agent.incarnation == incarnation)
    {
        if let Some(progress) = agent.claims.get_mut(&key) {
            *progress = Progress::Executed;
        }
    }
}

impl Model for KeysModel {
    type State = State;
    type Event = Event;
    type Invariant = Invariant;

    fn initial_state(&self) -> State {
        let mut state = State {
            time: 0,
            keys: vec![KeyHistory::default(); usize::from(self.bounds.keys)],
            agents: [None, None],
            incarnations: 0,
            service_toggles: 0,
            in_flight: BTreeSet::new(),
        };
        self.start_agent(&mut state, 0);
        state.agents.iter_mut().flatten().for_each(|agent| agent.configured = true);
        state
    }

    fn successors(&self, state: &State) -> Vec<(Event, State)> {
        let events = self.events(state).into_iter();
        events.filter_map(|event| Some((event, self.apply(state, event)?))).collect()
    }

    fn violations(&self, state: &State) -> Vec<Invariant> {
        state.keys.iter().flat_map(KeyHistory::violations).collect()
    }
}
