//! Successor function of the model of leases.

use super::{
    engine::{Engine, SHARE, TOTAL, request},
    state::{
        Attempt, EngineNumber, Event, Holder, HolderNumber, Invariant, Key, Message, Stage, State,
    },
    waiting::wait_for_ever,
};
use crate::{
    clock::{Step, Times},
    search::Model,
};
use fulmarhead_lib::{
    ids::TargetId,
    lease::{Acquiring, Grant, Reservation, Share, Step as Next},
};
use std::{collections::BTreeMap, time::Duration};
use strum::{Display, EnumIter};

/// Steps for which a message may be on the way.
const MESSAGE_LIFE: Step = 1;

/// Steps after which nothing may be left of a holder that has ended: the life of a message that
/// extends the lease, and the period of the lease.
const LEFT_AFTER: Step = 3;

/// The protocol, or one deliberate fault in a decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum Variant {
    /// The protocol.
    Protocol,
    /// Leases do not expire.
    NeverExpire,
    /// An agent that starts ignores the memory that its engine has allocated.
    IgnoreAllocations,
    /// An agent grants more memory than the engine has.
    OverstateTotal,
    /// Holders take the engines in any order and keep what they have while they wait.
    KeepInAnyOrder,
}

/// Size of a model of leases.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Holders.
    pub holders: HolderNumber,
    /// Engines; each holder needs all of them.
    pub engines: EngineNumber,
    /// Rounds of each holder.
    pub attempts: Attempt,
    /// Restarts of agents.
    pub restarts: u8,
    /// Last step of the clock; a lease lasts two steps.
    pub steps: Step,
    /// Whether holders renew and use their leases.
    pub uses: bool,
}

impl Bounds {
    /// One engine whose holder and agent die and whose messages come late.
    pub const MEMORY: Self =
        Self { holders: 1, engines: 1, attempts: 2, restarts: 1, steps: 4, uses: true };
    /// Two holders that need the same two engines, in two rounds each.
    pub const WAITING: Self =
        Self { holders: 2, engines: 2, attempts: 2, restarts: 0, steps: 0, uses: false };
    /// As above, in one round each, with time.
    pub const WAITING_TIME: Self =
        Self { holders: 2, engines: 2, attempts: 1, restarts: 0, steps: 1, uses: false };
    /// As above, with the restart of an agent in place of time.
    pub const WAITING_RESTART: Self =
        Self { holders: 2, engines: 2, attempts: 1, restarts: 1, steps: 0, uses: false };
}

/// The model of leases.
#[derive(Clone, Copy, Debug)]
pub struct LeasesModel {
    variant: Variant,
    bounds: Bounds,
    pub(super) times: Times,
}

impl LeasesModel {
    /// Returns the model of a variant.
    pub fn new(variant: Variant, bounds: Bounds) -> Self {
        Self { variant, bounds, times: Times::new(Duration::from_secs(5)) }
    }

    pub(super) fn is(&self, variant: Variant) -> bool {
        self.variant == variant
    }

    /// Returns the reservation of a holder that has got `grants`.
    pub(super) fn reservation(
        &self,
        holder: HolderNumber,
        attempt: Attempt,
        grants: &[Grant],
    ) -> Reservation<Acquiring> {
        let shares = (0..self.bounds.engines).map(|engine| {
            let share = Share { target: self.name(holder, engine), tokens: SHARE };
            (share, Key { holder, attempt, engine }.id())
        });
        let new = Reservation::with_leases(request(holder), shares.collect());
        grants.iter().fold(new, |reservation, &grant| reservation.record_grant(grant))
    }

    /// Returns the leases of one round of a holder.
    fn round(&self, holder: HolderNumber, attempt: Attempt) -> impl Iterator<Item = Key> {
        (0..self.bounds.engines).map(move |engine| Key { holder, attempt, engine })
    }

    /// Returns the name of an engine, which decides when its lease is asked for.
    fn name(&self, holder: HolderNumber, engine: usize) -> TargetId {
        let reversed = self.is(Variant::KeepInAnyOrder) && holder == 1;
        let place = if reversed { self.bounds.engines - engine } else { engine };
        format!("engine-{place}")
    }

    /// Returns the lease that a holder needs next.
    pub(super) fn next_lease(
        &self,
        holder: HolderNumber,
        attempt: Attempt,
        grants: &[Grant],
    ) -> Option<Key> {
        let Next::Request { lease, .. } = self.reservation(holder, attempt, grants).step() else {
            return None;
        };
        self.round(holder, attempt).find(|key| key.id() == lease)
    }

    fn events(&self, state: &State) -> Vec<Event> {
        let mut events = Vec::new();
        for (number, holder) in state.holders.iter().enumerate() {
            self.holder_events(number, holder, &mut events);
        }
        for &(message, key) in state.messages.keys() {
            events.push(Event::Deliver(message, key));
            if matches!(message, Message::Ask | Message::Release) {
                events.push(Event::DeliverInVain(message, key));
            }
        }
        if state.restarts < self.bounds.restarts {
            events.extend((0..state.engines.len()).map(Event::Restart));
        }
        if state.time < self.bounds.steps {
            events.push(Event::Tick);
        }
        events
    }

    fn holder_events(&self, number: HolderNumber, holder: &Holder, events: &mut Vec<Event>) {
        match holder.stage {
            Stage::Collecting(_) => events.extend([Event::Ask(number), Event::GiveUp(number)]),
            Stage::Held => {
                for key in self.round(number, holder.attempt).filter(|_| self.bounds.uses) {
                    events.extend([Event::Use(key), Event::Renew(key)]);
                }
                events.push(Event::Finish(number));
            }
            Stage::Ended => return,
        }
        events.push(Event::Die(number));
    }

    fn apply(&self, state: &State, event: Event) -> State {
        let mut next = state.clone();
        match event {
            Event::Ask(number) => self.ask(&mut next, number),
            Event::Use(key) => self.use_lease(&mut next, key),
            Event::Renew(key) => send(&mut next, Message::Renew, key),
            Event::GiveUp(number) => self.give_up(&mut next, number),
            Event::Finish(number) => {
                for key in self.round(number, next.holders[number].attempt) {
                    send(&mut next, Message::Release, key);
                }
                end(&mut next, number);
            }
            Event::Die(number) => end(&mut next, number),
            Event::Deliver(message, key) => self.deliver(&mut next, message, key, true),
            Event::DeliverInVain(message, key) => self.deliver(&mut next, message, key, false),
            Event::Restart(engine) => {
                let rebuild = !self.is(Variant::IgnoreAllocations);
                let now = self.times.now(next.time);
                next.engines[engine].restart(self.times.step(), rebuild, next.time, now);
                next.restarts += 1;
            }
            Event::Tick => self.tick(&mut next),
        }
        next
    }

    fn ask(&self, state: &mut State, number: HolderNumber) {
        let Holder { attempt, stage: Stage::Collecting(grants) } = &state.holders[number] else {
            return;
        };
        if let Some(key) = self.next_lease(number, *attempt, grants) {
            send(state, Message::Ask, key);
        }
    }

    /// The agent looks the lease up before it sends anything to the engine.
    fn use_lease(&self, state: &mut State, key: Key) {
        let now = self.times.now(state.time);
        if state.engines[key.engine].ledger.tokens(key.id(), now).is_some() {
            send(state, Message::Allocate, key);
        }
    }

    /// Ends the round of a holder, releases what it may have, and starts the next round.
    fn give_up(&self, state: &mut State, number: HolderNumber) {
        let Holder { attempt, stage: Stage::Collecting(grants) } = &state.holders[number] else {
            return;
        };
        let attempt = *attempt;
        let released = self.reservation(number, attempt, grants).abandon();
        for key in self.round(number, attempt) {
            if released.iter().any(|(_, lease)| *lease == key.id()) {
                send(state, Message::Release, key);
            }
        }
        end(state, number);
        if attempt < self.bounds.attempts {
            let stage = Stage::Collecting(Vec::new());
            state.holders[number] = Holder { attempt: attempt + 1, stage };
        }
    }

    fn deliver(&self, state: &mut State, message: Message, key: Key, answered: bool) {
        let now = self.times.now(state.time);
        let engine = &mut state.engines[key.engine];
        match message {
            Message::Ask => {
                let asked = engine.ledger.reserve(request(key.holder), key.id(), SHARE, 0, now);
                match asked {
                    Ok(grant) if answered => self.granted(state, key, grant),
                    Err(_) if answered => self.refused(state, key),
                    Ok(_) | Err(_) => {}
                }
            }
            Message::Renew => {
                let _ = engine.ledger.renew(key.id(), now);
            }
            Message::Release => {
                engine.ledger.release(key.id(), now);
                if answered {
                    engine.memory.remove(&key);
                }
            }
            Message::Allocate => engine.allocate(key),
        }
    }

    /// Takes a grant; the real reservation decides whether it is the one that is waited for.
    fn granted(&self, state: &mut State, key: Key, grant: Grant) {
        let holder = &mut state.holders[key.holder];
        let Stage::Collecting(grants) = &mut holder.stage else { return };
        let reservation = self.reservation(key.holder, holder.attempt, grants);
        if self.next_lease(key.holder, holder.attempt, grants) == Some(key) {
            grants.push(grant);
        }
        if let Next::Done(_) = reservation.record_grant(grant).step() {
            holder.stage = Stage::Held;
        }
    }

    /// A refusal counts only as the answer to the question that the holder asked last.
    fn refused(&self, state: &mut State, key: Key) {
        let Holder { attempt, stage: Stage::Collecting(grants) } = &state.holders[key.holder]
        else {
            return;
        };
        let asked = self.next_lease(key.holder, *attempt, grants) == Some(key);
        if asked && !self.is(Variant::KeepInAnyOrder) {
            self.give_up(state, key.holder);
        }
    }

    fn tick(&self, state: &mut State) {
        state.time += 1;
        let time = state.time;
        state.messages.retain(|_, sent| *sent + MESSAGE_LIFE >= time);
        let now = self.times.now(time);
        for engine in &mut state.engines {
            let mut ended = Vec::new();
            if !self.is(Variant::NeverExpire) {
                ended = engine.ledger.expire(now);
            }
            if !self.is(Variant::IgnoreAllocations) {
                ended.extend(engine.ledger.orphans(&engine.allocations()));
            }
            engine.memory.retain(|key| !ended.contains(&key.id()));
        }
    }
}

fn send(state: &mut State, message: Message, key: Key) {
    state.messages.insert((message, key), state.time);
}

fn end(state: &mut State, number: HolderNumber) {
    let holder = &mut state.holders[number];
    holder.stage = Stage::Ended;
    state.ended.insert((number, holder.attempt), state.time);
}

impl Model for LeasesModel {
    type State = State;
    type Event = Event;
    type Invariant = Invariant;

    fn start(&self) -> State {
        let total = if self.is(Variant::OverstateTotal) { TOTAL * 2 } else { TOTAL };
        let holder = Holder { attempt: 1, stage: Stage::Collecting(Vec::new()) };
        State {
            time: 0,
            engines: vec![Engine::new(self.times.step(), total); self.bounds.engines],
            holders: vec![holder; self.bounds.holders],
            messages: BTreeMap::new(),
            ended: BTreeMap::new(),
            restarts: 0,
        }
    }

    fn successors(&self, state: &State) -> Vec<(Event, State)> {
        let events = self.events(state).into_iter();
        events.map(|event| (event, self.apply(state, event))).collect()
    }

    fn broken(&self, state: &State) -> Vec<Invariant> {
        let mut broken = Vec::new();
        for (&(holder, attempt), &ended) in &state.ended {
            for (engine, place) in state.engines.iter().enumerate() {
                let key = Key { holder, attempt, engine };
                if state.time < ended.max(place.started) + LEFT_AFTER {
                    continue;
                }
                if place.has_lease(key) {
                    broken.push(Invariant::LeaseOutlivesHolder);
                }
                if place.memory.contains(&key) {
                    broken.push(Invariant::MemoryOutlivesHolder);
                }
            }
        }
        if state.engines.iter().any(|engine| engine.ledger.used() > TOTAL) {
            broken.push(Invariant::Overbooked);
        }
        if wait_for_ever(self, state) {
            broken.push(Invariant::MutualWait);
        }
        broken
    }
}
