//! Decision about the next step of an agent in rolling out a release note to its target.

use super::{
    desired::required_orders,
    fencing::{FencingSequence, Superseded},
    group::{Group, Reports, current_report, is_report_finished},
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

/// Time after which an order without a result is issued again.
///
/// Loading weights takes minutes.
const REISSUE_AFTER: Duration = Duration::from_secs(300);

/// Delay before an order that the engine did not accept is issued again.
const REISSUE_REFUSED_AFTER: Duration = Duration::from_secs(5);

/// Stage of a target's turn, as reported to its group.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, Display, EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Stage {
    /// The target has no turn.
    #[default]
    Waiting,
    /// The target has claimed a turn.
    Claimed,
    /// The target is changing, or finishes its running work before the change.
    Changing,
}

impl Stage {
    /// Returns whether other targets must count this target as unavailable.
    pub fn holds_claim(self) -> bool {
        self != Self::Waiting
    }
}

/// State of the engine and of the work that the agent has admitted to it.
#[derive(Clone, Copy, Debug)]
pub struct EngineState<'a> {
    /// Models that the engine has loaded.
    pub loaded: &'a [LoadedModel],
    /// Current role of the engine.
    pub role: &'a str,
    /// Highest fencing token that the engine reports.
    pub fencing: FencingToken,
    /// Number of restarts of the engine.
    pub restarts: u64,
    /// Number of admitted requests and leases that have not ended.
    pub work: usize,
}

/// Input of [`Rollout::step`].
#[derive(Clone, Copy, Debug)]
pub struct StepInput<'a> {
    /// Active configuration of the agent.
    pub fleet: &'a Fleet,
    /// State of the engine.
    pub engine: EngineState<'a>,
    /// Reports of the targets that [`Rollout::required_reports`] returned.
    pub reports: &'a Reports,
    /// Current monotonic time.
    pub now: Instant,
}

/// Next step of an agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// The target matches the note, there is no note, or the target is not in the configuration.
    Done,
    /// The target must wait before it may change or load weights.
    Wait(WaitReason),
    /// The target must finish its running work and accept no new work.
    Drain,
    /// Send this order to the engine.
    Order(OrderRequest),
    /// No order is due: the last one is in progress, or the delay after a refusal has not elapsed.
    Pending,
    /// Another agent has taken over the target; this one must not issue orders.
    Superseded(Superseded),
}

/// Reason why a target must wait.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum WaitReason {
    /// There is no report under the same configuration from this target of lower rank.
    Unseen(TargetId),
    /// This many targets are or may be unavailable, which is at least the maximum of the note.
    Unavailable(usize),
    /// The target has claimed a turn and must read the reports of its whole group.
    Claimed,
    /// The target must delay its weight load after those of other targets.
    Stagger,
}

/// State of the rollout at one target.
#[derive(Clone, Debug)]
pub struct Rollout {
    target: TargetId,
    turn: AnyTurn,
    fencing: FencingSequence,
    /// Number of the note that is being rolled out, or 0 if there is none.
    note_number: u64,
    done: bool,
    /// Targets of lower rank that have reported completion of the note.
    ///
    /// Used only to decide whether to claim a turn; the reports are checked again before the change
    /// begins.
    finished: BTreeSet<TargetId>,
}

impl Rollout {
    /// Creates the rollout of an agent incarnation that starts at wall-clock time `wall`, at an
    /// engine that reports the fencing token `engine_fencing`.
    pub fn new(target: TargetId, wall: SystemTime, engine_fencing: FencingToken) -> Self {
        Self {
            target,
            turn: AnyTurn::Waiting(Turn::new()),
            fencing: FencingSequence::new(wall, engine_fencing),
            note_number: 0,
            done: false,
            finished: BTreeSet::new(),
        }
    }

    /// Returns the progress of the target for reports to its group and to operators.
    pub fn progress(&self, serving: bool) -> Progress {
        Progress { note: self.note_number, done: self.done, serving, stage: self.stage() }
    }

    /// Returns the stage of the target's turn.
    pub fn stage(&self) -> Stage {
        match self.turn {
            AnyTurn::Waiting(_) => Stage::Waiting,
            AnyTurn::Claimed(_) => Stage::Claimed,
            AnyTurn::Changing(_) => Stage::Changing,
        }
    }

    /// Returns the targets whose reports the next step needs.
    ///
    /// In stage [`Stage::Waiting`], these are at most `max_unavailable` unfinished targets of lower
    /// rank, or none if this target has completed the note. In stage [`Stage::Claimed`], they are
    /// the whole group. In stage [`Stage::Changing`], there are none.
    pub fn required_reports(&self, fleet: &Fleet) -> Vec<TargetId> {
        let (Some(note), Some(own)) = (&fleet.release, fleet.target(&self.target)) else {
            return Vec::new();
        };
        let group = Group::new(fleet, own);
        match self.turn {
            AnyTurn::Waiting(_) if self.done && self.note_number == note.number => Vec::new(),
            AnyTurn::Waiting(_) => {
                let unfinished = group.lower.into_iter().filter(|id| !self.finished.contains(id));
                unfinished.take(note.max_unavailable).collect()
            }
            AnyTurn::Claimed(_) => group.others().cloned().collect(),
            AnyTurn::Changing(_) => Vec::new(),
        }
    }

    /// Decides the next step.
    ///
    /// The reports must have been read after the previous step returned, so that the claim of this
    /// target was visible to the others by then.
    pub fn step(&mut self, input: &StepInput<'_>) -> Step {
        let own = input.fleet.target(&self.target);
        let (Some(note), Some(own)) = (&input.fleet.release, own) else {
            self.end_turn();
            (self.note_number, self.done) = (0, false);
            return Step::Done;
        };
        self.start_note(note);
        let out_of_service = !input.fleet.in_service(own);
        let next_order =
            required_orders(note, own, input.engine.loaded, input.engine.role).into_iter().next();
        self.done = next_order.is_none() && !(out_of_service && input.engine.work > 0);
        match next_order {
            Some(next_order) => self.advance(note, own, next_order, input),
            None => {
                self.end_turn();
                if self.done { Step::Done } else { Step::Drain }
            }
        }
    }

    /// Records that the engine did not accept the last order, which is issued again after a delay.
    pub fn record_refusal(&mut self, now: Instant) {
        if let AnyTurn::Changing(turn) = &mut self.turn {
            turn.state.last_order = None;
            turn.state.refused_at = Some(now);
        }
    }

    /// Ends the turn in any state.
    fn end_turn(&mut self) {
        let turn = std::mem::replace(&mut self.turn, AnyTurn::Waiting(Turn::new()));
        self.turn = AnyTurn::Waiting(match turn {
            AnyTurn::Waiting(turn) => turn,
            AnyTurn::Claimed(turn) => turn.withdraw(),
            AnyTurn::Changing(turn) => turn.end(),
        });
    }

    /// Discards the state of an earlier note; a turn that has begun continues under the new note.
    fn start_note(&mut self, note: &ReleaseNote) {
        if self.note_number != note.number {
            self.note_number = note.number;
            self.finished.clear();
        }
    }

    fn advance(
        &mut self,
        note: &ReleaseNote,
        own: &Target,
        next_order: Order,
        input: &StepInput<'_>,
    ) -> Step {
        let group = Group::new(input.fleet, own);
        // A target out of service provides no capacity, so its change does not depend on its group.
        let out_of_service = !input.fleet.in_service(own);
        match std::mem::replace(&mut self.turn, AnyTurn::Waiting(Turn::new())) {
            AnyTurn::Waiting(turn) => match self.check_may_claim(note, &group, input) {
                Err(reason) if !out_of_service => Step::Wait(reason),
                _ => {
                    self.turn = AnyTurn::Claimed(turn.claim());
                    Step::Wait(WaitReason::Claimed)
                }
            },
            AnyTurn::Claimed(turn) => match check_may_begin(note, &group, input) {
                Err(reason) if !out_of_service => {
                    self.turn = AnyTurn::Waiting(turn.withdraw());
                    self.finished.retain(|id| is_target_finished(id, note, input));
                    Step::Wait(reason)
                }
                _ => {
                    self.turn = AnyTurn::Changing(turn.begin(input.now));
                    Step::Drain
                }
            },
            AnyTurn::Changing(mut turn) => {
                let stagger_multiple = group.lower.len() % note.max_unavailable.max(1);
                let step = next_change_step(
                    &mut turn.state,
                    &mut self.fencing,
                    note,
                    stagger_multiple,
                    next_order,
                    input,
                );
                self.turn = AnyTurn::Changing(turn);
                step
            }
        }
    }

    /// Checks whether the target may claim a turn, and updates the set of finished targets.
    fn check_may_claim(
        &mut self,
        note: &ReleaseNote,
        group: &Group,
        input: &StepInput<'_>,
    ) -> Result<(), WaitReason> {
        let unfinished = |finished: &BTreeSet<TargetId>| -> Vec<TargetId> {
            group.lower.iter().filter(|id| !finished.contains(*id)).cloned().collect()
        };
        let candidates = unfinished(&self.finished).into_iter().take(note.max_unavailable);
        for id in candidates {
            if current_report(input.reports, &id, input.fleet).is_none() {
                return Err(WaitReason::Unseen(id));
            }
            if is_target_finished(&id, note, input) {
                self.finished.insert(id);
            }
        }
        let unfinished = unfinished(&self.finished).len();
        if unfinished >= note.max_unavailable {
            Err(WaitReason::Unavailable(unfinished))
        } else {
            Ok(())
        }
    }
}

fn is_target_finished(id: &str, note: &ReleaseNote, input: &StepInput<'_>) -> bool {
    current_report(input.reports, id, input.fleet)
        .is_some_and(|report| is_report_finished(report, note.number))
}

fn check_may_begin(
    note: &ReleaseNote,
    group: &Group,
    input: &StepInput<'_>,
) -> Result<(), WaitReason> {
    if let Some(id) = group.first_unreported_lower(input.reports, input.fleet) {
        return Err(WaitReason::Unseen(id.clone()));
    }
    let unavailable = group.unavailable(input.reports, input.fleet, note.number);
    if unavailable >= note.max_unavailable {
        return Err(WaitReason::Unavailable(unavailable));
    }
    Ok(())
}

/// Returns the next step of a change: drain the target, wait for the stagger delay of a weight
/// load, or issue the next order.
///
/// The stagger delay of this target is `stagger_multiple` times that of the note.
fn next_change_step(
    turn: &mut Changing,
    fencing: &mut FencingSequence,
    note: &ReleaseNote,
    stagger_multiple: usize,
    next_order: Order,
    input: &StepInput<'_>,
) -> Step {
    if input.engine.work > 0 {
        return Step::Drain;
    }
    if let Some((last_order, issued_at, restarts)) = &turn.last_order {
        let is_recent = input.now.saturating_duration_since(*issued_at) < REISSUE_AFTER;
        if *last_order == next_order && *restarts == input.engine.restarts && is_recent {
            return Step::Pending;
        }
    }
    let is_delayed =
        |refused_at| input.now.saturating_duration_since(refused_at) < REISSUE_REFUSED_AFTER;
    if turn.refused_at.is_some_and(is_delayed) {
        return Step::Pending;
    }
    let stagger =
        note.stagger().saturating_mul(u32::try_from(stagger_multiple).unwrap_or(u32::MAX));
    if next_order.reads_weights() && input.now.saturating_duration_since(turn.began_at) < stagger {
        return Step::Wait(WaitReason::Stagger);
    }
    match fencing.next(input.engine.fencing) {
        Ok(fencing) => {
            turn.last_order = Some((next_order.clone(), input.now, input.engine.restarts));
            Step::Order(OrderRequest { fencing, order: next_order })
        }
        Err(error) => Step::Superseded(error),
    }
}
