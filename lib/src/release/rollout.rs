//! The decision what an agent does next to bring its target to the release note.

use super::{
    desired::orders,
    fencing::{Fencing, Superseded},
    group::{Group, Reports, is_finished, seen},
    note::ReleaseNote,
    order::{LoadedModel, Order, OrderRequest},
    turn::{AnyTurn, Changing, Turn},
};
use crate::{
    config::{Fleet, Target},
    control::Progress,
    ids::{FencingToken, TargetId},
};
use serde::{Deserialize, Serialize};
use std::{
    collections::BTreeSet,
    time::{Duration, Instant, SystemTime},
};
use strum::{Display, EnumString};

/// Time after which an order without a result is given again; a load of weights takes minutes.
const REPEAT_AFTER: Duration = Duration::from_secs(300);

/// Pause after an order that the engine did not take.
const REFUSED_PAUSE: Duration = Duration::from_secs(5);

/// Where a target stands in its turn, as the group sees it.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, Display, EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Stage {
    /// It has no turn.
    #[default]
    Waiting,
    /// It wants to change.
    Claimed,
    /// It changes or finishes its work before that.
    Changing,
}

impl Stage {
    /// Returns whether others must count the target as unavailable.
    pub fn is_claim(self) -> bool {
        self != Self::Waiting
    }
}

/// What the engine and the agent's own work look like.
#[derive(Clone, Copy, Debug)]
pub struct EngineState<'a> {
    /// Loaded models.
    pub loaded: &'a [LoadedModel],
    /// Role of the engine.
    pub role: &'a str,
    /// Highest fencing number that the engine reports.
    pub fencing: FencingToken,
    /// How often the engine has restarted.
    pub restarts: u64,
    /// Requests and leases that the agent has admitted and that have not ended.
    pub work: usize,
}

/// What a step is decided from.
#[derive(Clone, Copy, Debug)]
pub struct Situation<'a> {
    /// Configuration in force at the agent.
    pub fleet: &'a Fleet,
    /// State of the engine.
    pub engine: EngineState<'a>,
    /// Reports of the targets that [`Rollout::asks`] named.
    pub reports: &'a Reports,
    /// Monotonic time.
    pub now: Instant,
}

/// What an agent does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// The target is what the note asks for, or there is no note.
    Done,
    /// It is not the turn of the target.
    Wait(WaitReason),
    /// The target takes no new work and finishes what it has.
    Drain,
    /// The engine gets this order.
    Order(OrderRequest),
    /// The engine works on the last order.
    Pending,
    /// Another agent is in charge of the target; this one gives no orders.
    Superseded(Superseded),
}

/// Why it is not the turn of a target.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum WaitReason {
    /// The agent of this target of lower rank was not seen under the same configuration.
    Unseen(TargetId),
    /// As many targets as the note allows are or may be unavailable.
    Unavailable(usize),
    /// The target has claimed a turn and asks its whole group.
    Claimed,
    /// Another target reads its weights first.
    Stagger,
}

/// The rollout at one target.
#[derive(Clone, Debug)]
pub struct Rollout {
    target: TargetId,
    turn: AnyTurn,
    fencing: Fencing,
    note: u64,
    done: bool,
    /// Targets of lower rank that were seen to have finished the note; only a hint for claims.
    finished: BTreeSet<TargetId>,
}

impl Rollout {
    /// Returns the rollout of a life that starts at `wall` at an engine with number `engine`.
    pub fn new(target: TargetId, wall: SystemTime, engine: FencingToken) -> Self {
        Self {
            target,
            turn: AnyTurn::Waiting(Turn::new()),
            fencing: Fencing::new(wall, engine),
            note: 0,
            done: false,
            finished: BTreeSet::new(),
        }
    }

    /// Returns where the target is, for its group and for operators.
    pub fn progress(&self, serving: bool) -> Progress {
        Progress { note: self.note, done: self.done, serving, stage: self.stage() }
    }

    /// Returns where the target stands in its turn.
    pub fn stage(&self) -> Stage {
        match self.turn {
            AnyTurn::Waiting(_) => Stage::Waiting,
            AnyTurn::Claimed(_) => Stage::Claimed,
            AnyTurn::Changing(_) => Stage::Changing,
        }
    }

    /// Returns the targets whose reports the next step needs.
    ///
    /// Without a claim these are at most `max_unavailable` targets of lower rank that have not
    /// finished; with a claim it is the whole group.
    pub fn asks(&self, fleet: &Fleet) -> Vec<TargetId> {
        let (Some(note), Some(own)) = (&fleet.release, fleet.target(&self.target)) else {
            return Vec::new();
        };
        let group = Group::new(fleet, own);
        match self.turn {
            AnyTurn::Waiting(_) if self.done && self.note == note.number => Vec::new(),
            AnyTurn::Waiting(_) => {
                let open = group.lower.into_iter().filter(|id| !self.finished.contains(id));
                open.take(note.max_unavailable).collect()
            }
            AnyTurn::Claimed(_) => group.others().cloned().collect(),
            AnyTurn::Changing(_) => Vec::new(),
        }
    }

    /// Decides the next step.
    ///
    /// The reports must have been read after the last step returned; the claim of the target was
    /// visible to the others by then.
    pub fn step(&mut self, at: &Situation<'_>) -> Step {
        let own = at.fleet.target(&self.target);
        let (Some(note), Some(own)) = (&at.fleet.release, own) else {
            self.rest();
            (self.note, self.done) = (0, false);
            return Step::Done;
        };
        self.follow(note);
        let withdrawn = !at.fleet.in_service(own);
        let next = orders(note, own, at.engine.loaded, at.engine.role).into_iter().next();
        self.done = next.is_none() && !(withdrawn && at.engine.work > 0);
        match next {
            Some(next) => self.advance(note, own, next, at),
            None => {
                self.rest();
                if self.done { Step::Done } else { Step::Drain }
            }
        }
    }

    /// Records that the engine did not take the last order, which is repeated after a pause.
    pub fn not_taken(&mut self, now: Instant) {
        if let AnyTurn::Changing(turn) = &mut self.turn {
            turn.state.given = None;
            turn.state.refused = Some(now);
        }
    }

    /// Ends any turn.
    fn rest(&mut self) {
        let turn = std::mem::replace(&mut self.turn, AnyTurn::Waiting(Turn::new()));
        self.turn = AnyTurn::Waiting(match turn {
            AnyTurn::Waiting(turn) => turn,
            AnyTurn::Claimed(turn) => turn.withdraw(),
            AnyTurn::Changing(turn) => turn.end(),
        });
    }

    /// Forgets what belonged to an earlier note; a turn that has begun goes on under the new one.
    fn follow(&mut self, note: &ReleaseNote) {
        if self.note != note.number {
            self.note = note.number;
            self.finished.clear();
        }
    }

    fn advance(
        &mut self,
        note: &ReleaseNote,
        own: &Target,
        next: Order,
        at: &Situation<'_>,
    ) -> Step {
        let group = Group::new(at.fleet, own);
        // A target out of service takes nothing from its group.
        let free = !at.fleet.in_service(own);
        match std::mem::replace(&mut self.turn, AnyTurn::Waiting(Turn::new())) {
            AnyTurn::Waiting(turn) => match self.may_claim(note, &group, at) {
                Err(reason) if !free => Step::Wait(reason),
                _ => {
                    self.turn = AnyTurn::Claimed(turn.claim());
                    Step::Wait(WaitReason::Claimed)
                }
            },
            AnyTurn::Claimed(turn) => match may_begin(note, &group, at) {
                Err(reason) if !free => {
                    self.turn = AnyTurn::Waiting(turn.withdraw());
                    self.finished.retain(|id| has_finished(id, note, at));
                    Step::Wait(reason)
                }
                _ => {
                    self.turn = AnyTurn::Changing(turn.begin(at.now));
                    Step::Drain
                }
            },
            AnyTurn::Changing(mut turn) => {
                let place = group.lower.len() % note.max_unavailable.max(1);
                let step = change(&mut turn.state, &mut self.fencing, note, place, next, at);
                self.turn = AnyTurn::Changing(turn);
                step
            }
        }
    }

    fn may_claim(
        &mut self,
        note: &ReleaseNote,
        group: &Group,
        at: &Situation<'_>,
    ) -> Result<(), WaitReason> {
        let open = |finished: &BTreeSet<TargetId>| -> Vec<TargetId> {
            group.lower.iter().filter(|id| !finished.contains(*id)).cloned().collect()
        };
        let asked = open(&self.finished).into_iter().take(note.max_unavailable);
        for id in asked {
            if seen(at.reports, &id, at.fleet).is_none() {
                return Err(WaitReason::Unseen(id));
            }
            if has_finished(&id, note, at) {
                self.finished.insert(id);
            }
        }
        let open = open(&self.finished).len();
        if open >= note.max_unavailable { Err(WaitReason::Unavailable(open)) } else { Ok(()) }
    }
}

fn has_finished(id: &str, note: &ReleaseNote, at: &Situation<'_>) -> bool {
    seen(at.reports, id, at.fleet).is_some_and(|report| is_finished(report, note.number))
}

fn may_begin(note: &ReleaseNote, group: &Group, at: &Situation<'_>) -> Result<(), WaitReason> {
    if let Some(id) = group.unseen_lower(at.reports, at.fleet) {
        return Err(WaitReason::Unseen(id.clone()));
    }
    let unavailable = group.unavailable(at.reports, at.fleet, note.number);
    if unavailable >= note.max_unavailable {
        return Err(WaitReason::Unavailable(unavailable));
    }
    Ok(())
}

/// Drains the target, waits for its place among the readers of weights, then gives orders.
fn change(
    turn: &mut Changing,
    fencing: &mut Fencing,
    note: &ReleaseNote,
    place: usize,
    next: Order,
    at: &Situation<'_>,
) -> Step {
    if at.engine.work > 0 {
        return Step::Drain;
    }
    if let Some((given, when, restarts)) = &turn.given {
        let recent = at.now.saturating_duration_since(*when) < REPEAT_AFTER;
        if *given == next && *restarts == at.engine.restarts && recent {
            return Step::Pending;
        }
    }
    let paused = |at_refusal| at.now.saturating_duration_since(at_refusal) < REFUSED_PAUSE;
    if turn.refused.is_some_and(paused) {
        return Step::Pending;
    }
    let stagger = note.stagger().saturating_mul(u32::try_from(place).unwrap_or(u32::MAX));
    if next.reads_weights() && at.now.saturating_duration_since(turn.since) < stagger {
        return Step::Wait(WaitReason::Stagger);
    }
    match fencing.next(at.engine.fencing) {
        Ok(fencing) => {
            turn.given = Some((next.clone(), at.now, at.engine.restarts));
            Step::Order(OrderRequest { fencing, order: next })
        }
        Err(error) => Step::Superseded(error),
    }
}
