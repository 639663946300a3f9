//! Successor function of the lease model.

use super::{
    deadlock::is_deadlocked,
    engine::{ENGINE_CAPACITY, Engine, LEASE_SIZE, request_id},
    state::{
        Attempt, EngineIndex, Event, Holder, HolderIndex, Invariant, LeaseKey, Message, Stage,
        State,
    },
};
use crate::{
    clock::{Step, StepClock},
    search::Model,
};
use fulmarhead_lib::{
    ids::TargetId,
    lease::{Acquiring, Grant, Reservation, Share, Step as ReservationStep},
};
use std::{collections::BTreeMap, time::Duration};
use strum::{Display, EnumIter};

/// Steps for which a message may stay in flight.
const MESSAGE_LIFETIME_STEPS: Step = 1;

/// Steps after which nothing may be left of an ended attempt: the lifetime of a message that still
/// extends the lease, plus the period of the lease.
const CLEANUP_STEPS: Step = 3;

/// The protocol, or the protocol with one deliberate fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum Variant {
    /// The protocol without a fault.
    Protocol,
    /// Leases never expire.
    NeverExpire,
    /// An agent ignores the memory that its engine has allocated, both when it restarts and when it
    /// looks for memory without a lease.
    IgnoreAllocations,
    /// An agent grants more memory than its engine has.
    OverstateCapacity,
    /// Holders reserve engines in different orders and keep their leases while they wait.
    HoldAndWait,
}

/// Bounds of the lease model.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Number of holders.
    pub holders: HolderIndex,
    /// Number of engines; each holder needs a lease on all of them.
    pub engines: EngineIndex,
    /// Maximum number of attempts of each holder.
    pub attempts: Attempt,
    /// Maximum number of restarts, of all agents together.
    pub restarts: u8,
    /// Last step of the clock; a lease lasts two steps.
    pub last_step: Step,
    /// Whether holders renew and use their leases.
    pub use_leases: bool,
}

impl Bounds {
    /// One holder that uses its lease on one engine, with two attempts, one agent restart, and time
    /// for leases to expire.
    pub const ONE_HOLDER: Self =
        Self { holders: 1, engines: 1, attempts: 2, restarts: 1, last_step: 4, use_leases: true };
    /// Two holders that need the same two engines, with two attempts each.
    pub const TWO_HOLDERS: Self =
        Self { holders: 2, engines: 2, attempts: 2, restarts: 0, last_step: 0, use_leases: false };
    /// Two holders that need the same two engines, with one attempt each, while time advances.
    pub const TWO_HOLDERS_TIME: Self =
        Self { holders: 2, engines: 2, attempts: 1, restarts: 0, last_step: 1, use_leases: false };
    /// Two holders that need the same two engines, with one attempt each, while an agent restarts.
    pub const TWO_HOLDERS_RESTART: Self =
        Self { holders: 2, engines: 2, attempts: 1, restarts: 1, last_step: 0, use_leases: false };
}

/// Model of how holders lease engine memory.
#[derive(Clone, Copy, Debug)]
pub struct LeasesModel {
    variant: Variant,
    bounds: Bounds,
    pub(super) clock: StepClock,
}

impl LeasesModel {
    /// Returns the model of `variant` within `bounds`.
    pub fn new(variant: Variant, bounds: Bounds) -> Self {
        // All durations in the model are multiples of a step.
        Self { variant, bounds, clock: StepClock::new(Duration::from_secs(5)) }
    }

    pub(super) fn has_variant(&self, variant: Variant) -> bool {
        self.variant == variant
    }

    /// Returns the reservation of a holder that has received `grants`.
    pub(super) fn reservation(
        &self,
        holder: HolderIndex,
        attempt: Attempt,
        grants: &[Grant],
    ) -> Reservation<Acquiring> {
        let shares = (0..self.bounds.engines).map(|engine| {
            let share = Share { target: self.target_name(holder, engine), tokens: LEASE_SIZE };
            (share, LeaseKey { holder, attempt, engine }.id())
        });
        let empty = Reservation::with_leases(request_id(holder), shares.collect());
        grants.iter().fold(empty, |reservation, &grant| reservation.record_grant(grant))
    }

    /// Returns the leases of one attempt of a holder.
    fn attempt_leases(
        &self,
        holder: HolderIndex,
        attempt: Attempt,
    ) -> impl Iterator<Item = LeaseKey> {
        (0..self.bounds.engines).map(move |engine| LeaseKey { holder, attempt, engine })
    }

    /// Returns the target name of an engine.
    ///
    /// A holder requests its leases in the order of these names. In [`Variant::HoldAndWait`], the
    /// names are in reverse order for the second holder.
    fn target_name(&self, holder: HolderIndex, engine: usize) -> TargetId {
        let reversed = self.has_variant(Variant::HoldAndWait) && holder == 1;
        let position = if reversed { self.bounds.engines - engine } else { engine };
        format!("engine-{position}")
    }

    /// Returns the lease that a holder requests next, or `None` once it has all of them.
    pub(super) fn next_lease(
        &self,
        holder: HolderIndex,
        attempt: Attempt,
        grants: &[Grant],
    ) -> Option<LeaseKey> {
        let ReservationStep::Request { lease, .. } =
            self.reservation(holder, attempt, grants).step()
        else {
            return None;
        };
        self.attempt_leases(holder, attempt).find(|key| key.id() == lease)
    }

    fn events(&self, state: &State) -> Vec<Event> {
        let mut events = Vec::new();
        for (index, holder) in state.holders.iter().enumerate() {
            self.holder_events(index, holder, &mut events);
        }
        for &(message, key) in state.messages.keys() {
            events.push(Event::Deliver(message, key));
            if matches!(message, Message::Reserve | Message::Release) {
                events.push(Event::DeliverWithoutFollowUp(message, key));
            }
        }
        if state.restarts < self.bounds.restarts {
            events.extend((0..state.engines.len()).map(Event::RestartAgent));
        }
        if state.time < self.bounds.last_step {
            events.push(Event::Tick);
        }
        events
    }

    fn holder_events(&self, index: HolderIndex, holder: &Holder, events: &mut Vec<Event>) {
        match holder.stage {
            Stage::Acquiring(_) => {
                events.extend([Event::RequestLease(index), Event::AbandonAttempt(index)])
            }
            Stage::HoldsAll => {
                for key in
                    self.attempt_leases(index, holder.attempt).filter(|_| self.bounds.use_leases)
                {
                    events.extend([Event::UseLease(key), Event::RenewLease(key)]);
                }
                events.push(Event::FinishAttempt(index));
            }
            Stage::Ended => return,
        }
        events.push(Event::CrashHolder(index));
    }

    fn apply(&self, state: &State, event: Event) -> State {
        let mut next = state.clone();
        match event {
            Event::RequestLease(index) => self.request_next_lease(&mut next, index),
            Event::UseLease(key) => self.use_lease(&mut next, key),
            Event::RenewLease(key) => send_message(&mut next, Message::Renew, key),
            Event::AbandonAttempt(index) => self.abandon_attempt(&mut next, index),
            Event::FinishAttempt(index) => {
                for key in self.attempt_leases(index, next.holders[index].attempt) {
                    send_message(&mut next, Message::Release, key);
                }
                end_attempt(&mut next, index);
            }
            Event::CrashHolder(index) => end_attempt(&mut next, index),
            Event::Deliver(message, key) => self.deliver(&mut next, message, key, true),
            Event::DeliverWithoutFollowUp(message, key) => {
                self.deliver(&mut next, message, key, false)
            }
            Event::RestartAgent(engine) => {
                let rebuild = !self.has_variant(Variant::IgnoreAllocations);
                let now = self.clock.now(next.time);
                next.engines[engine].restart_agent(
                    self.clock.step_duration(),
                    rebuild,
                    next.time,
                    now,
                );
                next.restarts += 1;
            }
            Event::Tick => self.tick(&mut next),
        }
        next
    }

    fn request_next_lease(&self, state: &mut State, index: HolderIndex) {
        let Holder { attempt, stage: Stage::Acquiring(grants) } = &state.holders[index] else {
            return;
        };
        if let Some(key) = self.next_lease(index, *attempt, grants) {
            send_message(state, Message::Reserve, key);
        }
    }

    /// Lets a holder use a lease. The agent checks that the lease is active before it sends
    /// anything to the engine.
    fn use_lease(&self, state: &mut State, key: LeaseKey) {
        let now = self.clock.now(state.time);
        if state.engines[key.engine].ledger.tokens(key.id(), now).is_some() {
            send_message(state, Message::Allocate, key);
        }
    }

    /// Ends the attempt of a holder, releases the leases that it may have, and starts its next
    /// attempt if any is left.
    fn abandon_attempt(&self, state: &mut State, index: HolderIndex) {
        let Holder { attempt, stage: Stage::Acquiring(grants) } = &state.holders[index] else {
            return;
        };
        let attempt = *attempt;
        let leases_to_release = self.reservation(index, attempt, grants).abandon();
        for key in self.attempt_leases(index, attempt) {
            if leases_to_release.iter().any(|(_, lease)| *lease == key.id()) {
                send_message(state, Message::Release, key);
            }
        }
        end_attempt(state, index);
        if attempt < self.bounds.attempts {
            let stage = Stage::Acquiring(Vec::new());
            state.holders[index] = Holder { attempt: attempt + 1, stage };
        }
    }

    /// Delivers a message. `follow_up_arrives` says whether the reply to a `Reserve`, or the order
    /// to the engine to free the memory after a `Release`, arrives as well.
    fn deliver(&self, state: &mut State, message: Message, key: LeaseKey, follow_up_arrives: bool) {
        let now = self.clock.now(state.time);
        let engine = &mut state.engines[key.engine];
        match message {
            Message::Reserve => {
                // No work without a lease uses memory.
                let result =
                    engine.ledger.reserve(request_id(key.holder), key.id(), LEASE_SIZE, 0, now);
                match result {
                    Ok(grant) if follow_up_arrives => self.handle_grant(state, key, grant),
                    Err(_) if follow_up_arrives => self.handle_refusal(state, key),
                    Ok(_) | Err(_) => {}
                }
            }
            Message::Renew => {
                let _ = engine.ledger.renew(key.id(), now);
            }
            Message::Release => {
                engine.ledger.release(key.id(), now);
                if follow_up_arrives {
                    engine.allocated_leases.remove(&key);
                }
            }
            Message::Allocate => engine.allocate(key),
        }
    }

    /// Handles a grant; the production reservation decides whether it matches the pending request.
    fn handle_grant(&self, state: &mut State, key: LeaseKey, grant: Grant) {
        let holder = &mut state.holders[key.holder];
        let Stage::Acquiring(grants) = &mut holder.stage else { return };
        let reservation = self.reservation(key.holder, holder.attempt, grants);
        if self.next_lease(key.holder, holder.attempt, grants) == Some(key) {
            grants.push(grant);
        }
        if let ReservationStep::Done(_) = reservation.record_grant(grant).step() {
            holder.stage = Stage::HoldsAll;
        }
    }

    /// Handles a refusal, which counts only if it replies to the holder's pending request.
    fn handle_refusal(&self, state: &mut State, key: LeaseKey) {
        let Holder { attempt, stage: Stage::Acquiring(grants) } = &state.holders[key.holder] else {
            return;
        };
        let is_pending = self.next_lease(key.holder, *attempt, grants) == Some(key);
        if is_pending && !self.has_variant(Variant::HoldAndWait) {
            self.abandon_attempt(state, key.holder);
        }
    }

    fn tick(&self, state: &mut State) {
        state.time += 1;
        let time = state.time;
        state.messages.retain(|_, sent| *sent + MESSAGE_LIFETIME_STEPS >= time);
        let now = self.clock.now(time);
        for engine in &mut state.engines {
            let mut ended_leases = Vec::new();
            if !self.has_variant(Variant::NeverExpire) {
                ended_leases = engine.ledger.expire(now);
            }
            if !self.has_variant(Variant::IgnoreAllocations) {
                ended_leases.extend(engine.ledger.orphans(&engine.allocations()));
            }
            engine.allocated_leases.retain(|key| !ended_leases.contains(&key.id()));
        }
    }
}

fn send_message(state: &mut State, message: Message, key: LeaseKey) {
    state.messages.insert((message, key), state.time);
}

fn end_attempt(state: &mut State, index: HolderIndex) {
    let holder = &mut state.holders[index];
    holder.stage = Stage::Ended;
    state.ended_attempts.insert((index, holder.attempt), state.time);
}

impl Model for LeasesModel {
    type State = State;
    type Event = Event;
    type Invariant = Invariant;

    fn initial_state(&self) -> State {
        let assumed_capacity = if self.has_variant(Variant::OverstateCapacity) {
            ENGINE_CAPACITY * 2
        } else {
            ENGINE_CAPACITY
        };
        let holder = Holder { attempt: 1, stage: Stage::Acquiring(Vec::new()) };
        State {
            time: 0,
            engines: vec![
                Engine::new(self.clock.step_duration(), assumed_capacity);
                self.bounds.engines
            ],
            holders: vec![holder; self.bounds.holders],
            messages: BTreeMap::new(),
            ended_attempts: BTreeMap::new(),
            restarts: 0,
        }
    }

    fn successors(&self, state: &State) -> Vec<(Event, State)> {
        let events = self.events(state).into_iter();
        events.map(|event| (event, self.apply(state, event))).collect()
    }

    fn violations(&self, state: &State) -> Vec<Invariant> {
        let mut violations = Vec::new();
        for (&(holder, attempt), &ended_at) in &state.ended_attempts {
            for (index, engine) in state.engines.iter().enumerate() {
                let key = LeaseKey { holder, attempt, engine: index };
                if state.time < ended_at.max(engine.agent_started) + CLEANUP_STEPS {
                    continue;
                }
                if engine.has_lease(key) {
                    violations.push(Invariant::LeaseOutlivesAttempt);
                }
                if engine.allocated_leases.contains(&key) {
                    violations.push(Invariant::MemoryOutlivesAttempt);
                }
            }
        }
        if state.engines.iter().any(|engine| engine.ledger.used() > ENGINE_CAPACITY) {
            violations.push(Invariant::Overcommitted);
        }
        if is_deadlocked(self, state) {
            violations.push(Invariant::Deadlock);
        }
        violations
    }
}
