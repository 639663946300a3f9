//! Tests of the rollout of release notes: orders, turns and fencing tokens.

use fulmarhead_lib::{
    admission::Phase,
    clock::Clock,
    config::{Entry, Fleet, Model, Target, TargetKind, Zone},
    control::{Load, Report},
    release::{
        Action, AdapterChange, EngineState, FencingSequence, LoadedModel, ModelChange, Order,
        ReleaseNote, Reports, Rollout, Stage, Step, StepInput, WaitReason, required_orders,
    },
};
use quickcheck::{Arbitrary, Gen};
use std::time::{Duration, SystemTime};
use testutils::{ManualClock, cases};

/// Seeds of the randomized test; a failure prints its seed.
const SEEDS: std::ops::Range<u64> = 0..300;

fn target(index: usize) -> Target {
    let address = |port: u16| ([10, 0, 0, index as u8], port).into();
    Target {
        id: format!("e{index}"),
        zone: "a".to_owned(),
        kind: TargetKind::Engine,
        work: address(1),
        control: address(2),
        models: vec!["m".to_owned()],
        application: None,
        departing: false,
    }
}

fn note(max_unavailable: usize) -> ReleaseNote {
    let model = ModelChange {
        action: Action::Changed,
        model: "m".to_owned(),
        version: Some("2".to_owned()),
        targets: Vec::new(),
    };
    let adapters = Vec::new();
    let (targets, zones) = (Vec::new(), Vec::new());
    let stagger_ms = 1_000;
    ReleaseNote {
        number: 1,
        max_unavailable,
        stagger_ms,
        models: vec![model],
        adapters,
        targets,
        zones,
    }
}

fn fleet(targets: usize, max_unavailable: usize) -> Fleet {
    Fleet {
        revision: 1,
        zones: vec![Zone { id: "a".to_owned(), in_service: true }],
        models: vec![Model { id: "m".to_owned(), max_tokens: 1 }],
        targets: (0..targets).map(target).collect(),
        entries: Vec::<Entry>::new(),
        teams: Vec::new(),
        applications: Vec::new(),
        bounds: Default::default(),
        policy: Default::default(),
        release: Some(note(max_unavailable)),
    }
}

fn loaded(version: &str, adapters: &[&str]) -> Vec<LoadedModel> {
    let adapters = adapters.iter().map(|adapter| (*adapter).to_owned()).collect();
    vec![LoadedModel { model: "m".to_owned(), version: version.to_owned(), adapters }]
}

fn load_model() -> Order {
    Order::LoadModel { model: "m".to_owned(), version: "2".to_owned() }
}

/// A simulated agent and its engine.
#[derive(Clone)]
struct Agent {
    rollout: Rollout,
    loaded: Vec<LoadedModel>,
    work: usize,
    restarts: u64,
    fencing: u64,
    reports: Reports,
}

impl Agent {
    fn new(index: usize) -> Self {
        let rollout = Rollout::new(format!("e{index}"), SystemTime::UNIX_EPOCH, 0);
        let loaded = loaded("1", &[]);
        Self { rollout, loaded, work: 0, restarts: 0, fencing: 0, reports: Reports::new() }
    }

    fn report(&self, index: usize) -> Report {
        Report {
            target: format!("e{index}"),
            incarnation: 0,
            revision: 1,
            phase: Phase::Serving,
            models: Vec::new(),
            application: None,
            load: Load::default(),
            progress: self.rollout.progress(true),
        }
    }

    /// Runs one step with the reports that were read since the previous step.
    fn step(&mut self, fleet: &Fleet, clock: &ManualClock) -> Step {
        let reports = std::mem::take(&mut self.reports);
        let (restarts, fencing) = (self.restarts, self.fencing);
        let engine =
            EngineState { loaded: &self.loaded, role: "", fencing, restarts, work: self.work };
        let step =
            self.rollout.step(&StepInput { fleet, engine, reports: &reports, now: clock.now() });
        if let Step::Order(request) = &step {
            assert!(
                request.fencing > self.fencing,
                "the fencing token of the order is not above that of the engine"
            );
            self.fencing = request.fencing;
        }
        step
    }

    fn step_expecting_order(&mut self, fleet: &Fleet, clock: &ManualClock) -> Order {
        match self.step(fleet, clock) {
            Step::Order(request) => request.order,
            other => panic!("expected an order, not {other:?}"),
        }
    }
}

fn check_required_orders(
    version: Option<&str>,
    adapter_action: Option<Action>,
    loaded: &[LoadedModel],
    expected: &[Order],
) {
    let mut note = note(1);
    note.models[0].version = version.map(ToOwned::to_owned);
    let change = |action| AdapterChange { action, model: "m".to_owned(), adapter: "fr".to_owned() };
    note.adapters = adapter_action.into_iter().map(change).collect();
    assert_eq!(required_orders(&note, &target(0), loaded, ""), expected);
}

/// Returns the order that loads the adapter if `load` is true, and otherwise the one that unloads
/// it.
fn adapter_order(load: bool) -> Order {
    let (model, adapter) = ("m".to_owned(), "fr".to_owned());
    if load {
        Order::LoadAdapter { model, adapter }
    } else {
        Order::UnloadAdapter { model, adapter }
    }
}

cases! {
    check_required_orders {
        model_is_current: (Some("1"), None, &loaded("1", &[]), &[]),
        model_version_differs: (Some("2"), None, &loaded("1", &[]), &[load_model()]),
        /// Guards against loading an adapter before its model.
        model_not_loaded: (Some("2"), Some(Action::Added), &[], &[load_model()]),
        /// Guards against loading an adapter of a model that is unloaded.
        model_withdrawn: (
            None, Some(Action::Added), &loaded("1", &[]), &[Order::UnloadModel { model: "m".to_owned() }],
        ),
        adapter_added: (Some("1"), Some(Action::Added), &loaded("1", &[]), &[adapter_order(true)]),
        adapter_withdrawn: (Some("1"), Some(Action::Withdrawn), &loaded("1", &["fr"]), &[adapter_order(false)]),
        adapter_present: (Some("1"), Some(Action::Changed), &loaded("1", &["fr"]), &[]),
    }
}

/// Guards against fencing tokens that decrease when an agent restarts without stored state or its
/// wall clock steps back, and against an agent that issues orders after another incarnation has
/// taken over its target.
#[test]
fn fencing_tokens_increase_across_restarts() {
    let wall = |millis| SystemTime::UNIX_EPOCH + Duration::from_millis(millis);
    let mut first = FencingSequence::new(wall(1_000), 0);
    assert_eq!([first.next(0), first.next(1_001)], [Ok(1_001), Ok(1_002)]);
    let mut second = FencingSequence::new(wall(10), 1_002);
    assert_eq!(second.next(1_002), Ok(1_003));
    assert!(first.next(1_003).is_err());
    assert_eq!(FencingSequence::new(wall(2_000), 0).next(0), Ok(2_001));
}

/// Guards against orders before running work has ended, and against simultaneous weight loads.
#[test]
fn target_drains_then_waits_for_stagger_then_loads() {
    let clock = ManualClock::default();
    let fleet = fleet(2, 2);
    let mut agents = [Agent::new(0), Agent::new(1)];
    agents[1].work = 1;
    for expected in [Step::Wait(WaitReason::Claimed), Step::Drain, Step::Drain] {
        agents[1].reports.insert("e0".to_owned(), agents[0].report(0));
        assert_eq!(agents[1].step(&fleet, &clock), expected);
    }
    agents[1].work = 0;
    assert_eq!(agents[1].step(&fleet, &clock), Step::Wait(WaitReason::Stagger));
    clock.advance(Duration::from_secs(1));
    assert_eq!(agents[1].step_expecting_order(&fleet, &clock), load_model());
    assert_eq!(agents[1].step(&fleet, &clock), Step::Pending);
    agents[1].restarts += 1;
    assert_eq!(agents[1].step_expecting_order(&fleet, &clock), load_model());
    agents[1].loaded = loaded("2", &[]);
    assert_eq!(agents[1].step(&fleet, &clock), Step::Done);
    assert_eq!(agents[1].rollout.stage(), Stage::Waiting);
}

/// Guards against sending a refused order again without a delay.
#[test]
fn refused_order_is_reissued_after_a_delay() {
    let clock = ManualClock::default();
    let fleet = fleet(1, 1);
    let mut agent = Agent::new(0);
    // The first step claims the turn, the second begins the change.
    agent.step(&fleet, &clock);
    agent.step(&fleet, &clock);
    assert_eq!(agent.step_expecting_order(&fleet, &clock), load_model());
    agent.rollout.record_refusal(clock.now());
    assert_eq!(agent.step(&fleet, &clock), Step::Pending);
    clock.advance(Duration::from_secs(5));
    assert_eq!(agent.step_expecting_order(&fleet, &clock), load_model());
}

/// Guards against claiming a turn without a report from each target of lower rank under the same
/// configuration.
fn check_missing_report(revision: Option<u64>) {
    let clock = ManualClock::default();
    let fleet = fleet(2, 2);
    let (first, mut second) = (Agent::new(0), Agent::new(1));
    if let Some(revision) = revision {
        second.reports.insert("e0".to_owned(), Report { revision, ..first.report(0) });
    }
    let expected = Step::Wait(WaitReason::Unseen("e0".to_owned()));
    assert_eq!(second.step(&fleet, &clock), expected);
}

cases! {
    check_missing_report {
        no_report: (None),
        report_with_an_older_revision: (Some(0)),
        report_with_a_newer_revision: (Some(2)),
    }
}

/// Runs a random sequence of report reads, steps, completed loads, engines that lose their models
/// and clock advances.
///
/// Returns whether every target finishes once all agents can read the reports of each other.
fn run_random_events(seed: u64) -> bool {
    let mut g = Gen::from_size_and_seed(30, seed);
    let clock = ManualClock::default();
    let count = 2 + usize::arbitrary(&mut g) % 5;
    let max = 1 + usize::arbitrary(&mut g) % (count - 1);
    let fleet = fleet(count, max);
    let mut agents: Vec<Agent> = (0..count).map(Agent::new).collect();
    for event in 0..800 {
        let (at, peer) = (usize::arbitrary(&mut g) % count, usize::arbitrary(&mut g) % count);
        match u8::arbitrary(&mut g) % 16 {
            0..=9 => {
                let report = agents[peer].report(peer);
                agents[at].reports.insert(report.target.clone(), report);
            }
            10..=12 => drop(agents[at].step(&fleet, &clock)),
            13 if agents[at].fencing > 0 => agents[at].loaded = loaded("2", &[]),
            14 => agents[at].loaded = loaded("1", &[]),
            _ => clock.advance(Duration::from_millis(300)),
        }
        let changing = |agent: &&Agent| agent.rollout.stage() == Stage::Changing;
        let changing = agents.iter().filter(changing).count();
        assert!(
            changing <= max,
            "seed {seed}, event {event}: {changing} targets change, at most {max} may"
        );
    }
    finish_rollout(&mut agents, &fleet, &clock)
}

/// Lets all agents read all reports and complete their orders, and returns whether all are done.
fn finish_rollout(agents: &mut [Agent], fleet: &Fleet, clock: &ManualClock) -> bool {
    for _ in 0..200 {
        clock.advance(Duration::from_secs(10));
        for at in 0..agents.len() {
            let reports =
                agents.iter().enumerate().map(|(i, agent)| (format!("e{i}"), agent.report(i)));
            agents[at].reports = reports.collect();
            if let Step::Order(_) = agents[at].step(fleet, clock) {
                agents[at].loaded = loaded("2", &[]);
            }
        }
    }
    agents.iter().all(|agent| agent.rollout.progress(true).done)
}

/// Guards against more than `max_unavailable` targets of a group that change at the same time,
/// regardless of which reports they have read, and against a rollout that never finishes.
#[test]
fn at_most_max_unavailable_targets_change_at_once() {
    for seed in SEEDS {
        assert!(run_random_events(seed), "seed {seed}: the rollout did not finish");
    }
}
