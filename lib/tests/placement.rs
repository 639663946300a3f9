//! Choice of targets that are called directly.

use fulmarhead_lib::{
    clock::Clock,
    limits::StartBound,
    placement::{
        AttemptResult, Choice, LoadChanges, Member, MemberState, Need, Pool, Shortage, TargetLoad,
        Waive, Work,
    },
    routes::{EngineModel, Service, WarmUp},
};
use quickcheck::{Gen, QuickCheck};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};
use testutils::{ManualClock, cases};

/// Bounds of the users' deployments.
const STARTS: StartBound = StartBound { overrun: 1.5, tolerance: 5.0 };

const IDLE: TargetLoad = TargetLoad { requests: 0, writing: 0, read_ms: 0.0, memory: 0, short: 0 };

/// Engines of the users' deployments, as their configuration describes them.
fn engine() -> EngineModel {
    EngineModel {
        slots: 16,
        memory: 315_000,
        step_ms: 0.85,
        sequence_ms: 0.004_25,
        context_ms: 0.002_85,
        read_rate: 177.0,
        pairs_ms: 0.184,
        chunk: 2_048,
        stride: 51,
        hop_ms: 0.05,
        usual_output: 1_600,
    }
}

fn service(rate: f64) -> Service {
    let warm_up = WarmUp { period: Duration::from_secs(3), rate };
    Service { id: "pool".into(), connections: 400, warm_up, engine: Some(engine()) }
}

fn member(number: u8) -> Member {
    Member {
        id: format!("t{number}"),
        service: "pool".into(),
        address: ([10, 0, 0, number], 80).into(),
        zone: format!("z{}", number % 3),
        state: MemberState::Ready,
        cold: Duration::ZERO,
        born: None,
    }
}

fn members(numbers: &[u8]) -> BTreeMap<String, Member> {
    numbers.iter().map(|&number| member(number)).map(|member| (member.id.clone(), member)).collect()
}

struct Fixture {
    clock: ManualClock,
    pool: Pool,
    service: Service,
}

impl Fixture {
    fn new(numbers: &[u8]) -> Self {
        let clock = ManualClock::default();
        let mut pool = Pool::new("z0".into(), STARTS);
        pool.update(members(numbers), false, clock.now());
        Self { clock, pool, service: service(0.0) }
    }

    fn now(&self) -> Instant {
        self.clock.now()
    }

    fn choose(&mut self, need: &Need) -> Result<Choice, Shortage> {
        let now = self.now();
        self.pool.choose(&self.service, need, &[], Waive::Nothing, 3, now)
    }

    fn send(&mut self, need: &Need) -> Choice {
        let choice = self.choose(need).unwrap();
        let now = self.now();
        self.pool.begin(&choice.target, Work::new(need, choice.read_ms, now), now).unwrap();
        for helper in &choice.helpers {
            self.pool.help(&helper.target, Work::helping(need, choice.read_ms, now)).unwrap();
        }
        choice
    }
}

fn short() -> Need {
    Need {
        prompt: 2_000,
        output: 1_600,
        objective: Duration::from_millis(300),
        gap: Duration::from_millis(250),
        overdue: false,
        draw: 1,
    }
}

fn long() -> Need {
    Need {
        prompt: 154_000,
        output: 800,
        objective: Duration::from_secs(3),
        gap: Duration::from_secs(1),
        overdue: false,
        draw: 1,
    }
}

/// What the list shows after `change`, and whether the target `t1` gets work `after` it.
fn check_membership(
    change: fn(&mut BTreeMap<String, Member>),
    unsettled: bool,
    after: Duration,
    expected: bool,
) {
    let mut fixture = Fixture::new(&[1]);
    let mut list = members(&[1]);
    change(&mut list);
    let now = fixture.now();
    fixture.pool.update(list, unsettled, now);
    fixture.clock.advance(after);
    let chosen = fixture.choose(&short()).map(|choice| choice.target);
    assert_eq!(chosen, if expected { Ok("t1".into()) } else { Err(Shortage::NoTarget) });
}

fn drain(list: &mut BTreeMap<String, Member>) {
    list.get_mut("t1").unwrap().state = MemberState::Draining;
}

fn remove(list: &mut BTreeMap<String, Member>) {
    list.clear();
}

fn check_start_rate(rate: f64, entries: usize, expected: usize) {
    let mut fixture = Fixture::new(&[1]);
    fixture.service = service(rate);
    let mut sent = 0;
    for _ in 0..1_000 {
        let now = fixture.now();
        let choice =
            fixture.pool.choose(&fixture.service, &short(), &[], Waive::Nothing, entries, now);
        if let Ok(choice) = choice {
            let id = fixture.pool.begin(&choice.target, Work::new(&short(), 10.0, now), now);
            fixture.pool.end(&choice.target, id, AttemptResult::Answered, now);
            sent += 1;
        }
        fixture.clock.advance(Duration::from_micros(900));
    }
    assert_eq!(sent, expected);
    // One start in a second is always allowed, and a service without a rate has no bound.
    let bound = rate * STARTS.overrun + STARTS.tolerance;
    assert!(rate == 0.0 || sent == 1 || (sent * entries) as f64 <= bound);
}

fn check_pause(result: AttemptResult, after: Duration, expected: Result<(), Shortage>) {
    let mut fixture = Fixture::new(&[1]);
    let now = fixture.now();
    let id = fixture.pool.begin("t1", Work::new(&short(), 10.0, now), now);
    fixture.pool.end("t1", id, result, now);
    fixture.clock.advance(after);
    assert_eq!(fixture.choose(&short()).map(|_| ()), expected);
}

const SECOND: Duration = Duration::from_secs(1);

cases! {
    check_membership {
        unchanged: (|_| (), false, Duration::ZERO, true),
        /// Guards against work for a target that leaves.
        draining: (drain, false, Duration::ZERO, false),
        /// Guards against work for a target that the list dropped while the store was well.
        removed: (remove, false, Duration::ZERO, false),
        /// Guards against a fleet without targets right after the store's return.
        lapsed_beside_an_outage: (remove, true, SECOND, true),
        /// Guards against a target that is kept for ever.
        lapsed_for_good: (remove, true, 3 * SECOND, false),
    }

    check_start_rate {
        /// Guards against entries that overrun a cold target together.
        three_entries: (36.0, 3, 15),
        one_entry: (36.0, 1, 47),
        many_entries: (36.0, 21, 2),
        /// Guards against a target that never gets anything in a large fleet.
        more_entries_than_starts: (36.0, 100, 1),
        warm_service: (0.0, 3, 1_000),
    }

    check_pause {
        answered: (AttemptResult::Answered, Duration::ZERO, Ok(())),
        abandoned: (AttemptResult::Abandoned, Duration::ZERO, Ok(())),
        failed: (AttemptResult::Failed, Duration::ZERO, Err(Shortage::Full)),
        failed_and_rested: (AttemptResult::Failed, SECOND, Ok(())),
        full: (AttemptResult::Full, Duration::ZERO, Err(Shortage::Full)),
    }
}

/// Guards against a long prompt that one engine reads for three seconds.
#[test]
fn long_prompt_is_read_in_parts() {
    let mut fixture = Fixture::new(&[1, 2, 3, 4, 5, 6, 7, 8]);
    let choice = fixture.send(&long());
    let readers: BTreeSet<&String> =
        choice.helpers.iter().map(|helper| &helper.target).chain([&choice.target]).collect();
    assert_eq!(readers.len(), choice.helpers.len() + 1);
    assert!(choice.read_ms <= 400.0, "a part takes {} ms", choice.read_ms);
}

/// Guards against a long prompt beside streams that tolerate only short pauses.
#[test]
fn long_prompt_keeps_away_from_short_streams() {
    let mut fixture = Fixture::new(&[1, 2, 3, 4]);
    let busy = fixture.send(&short()).target;
    let choice = fixture.send(&long());
    assert_ne!(choice.target, busy);
    assert!(choice.helpers.iter().all(|helper| helper.target != busy));
}

/// Guards against short requests that spread over all engines.
#[test]
fn short_requests_are_packed() {
    let mut fixture = Fixture::new(&[1, 2, 3, 4, 5, 6]);
    let mut targets = BTreeSet::new();
    for _ in 0..8 {
        let choice = fixture.send(&short());
        let now = fixture.now();
        fixture.clock.advance(Duration::from_millis(100));
        fixture.pool.hear(&choice.target, now);
        targets.insert(choice.target);
    }
    assert!(targets.len() <= 2, "{targets:?}");
}

/// Guards against entries that each order the targets in their own way.
#[test]
fn entries_share_the_order_of_targets() {
    let choose = |zone: &str| {
        let clock = ManualClock::default();
        let mut pool = Pool::new(zone.into(), STARTS);
        pool.update(members(&[1, 2, 3, 4, 5, 6]), false, clock.now());
        let choice =
            pool.choose(&service(0.0), &short(), &[], Waive::Nothing, 3, clock.now()).unwrap();
        choice.target
    };
    let first = choose("none");
    assert_eq!(choose("other"), first);
}

/// Guards against entries that know the same and all send to one engine.
#[test]
fn entries_that_know_the_same_spread() {
    let numbers: Vec<u8> = (1..=30).collect();
    let mut fixture = Fixture::new(&numbers);
    let loads: BTreeMap<String, TargetLoad> = numbers
        .iter()
        .map(|number| (format!("t{number}"), TargetLoad { requests: 6, short: 6, ..IDLE }))
        .collect();
    let now = fixture.now();
    fixture.pool.report("peer".into(), &LoadChanges::between(None, &loads), now);
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for draw in 0..40 {
        let choice = fixture.choose(&Need { draw, ..short() }).unwrap();
        *counts.entry(choice.target).or_default() += 1;
    }
    assert!(counts.values().all(|&count| count <= 10), "{counts:?}");
}

/// Guards against requests that wait at full engines, where all of them become late.
#[test]
fn request_that_would_be_late_is_refused() {
    let mut fixture = Fixture::new(&[1, 2]);
    let full = TargetLoad { requests: 16, short: 16, writing: 16, ..IDLE };
    let loads = BTreeMap::from([("t1".to_owned(), full), ("t2".to_owned(), full)]);
    let now = fixture.now();
    fixture.pool.report("peer".into(), &LoadChanges::between(None, &loads), now);
    assert_eq!(fixture.choose(&short()), Err(Shortage::Full));
    assert!(fixture.choose(&Need { overdue: true, ..short() }).is_ok());
}

/// A prompt over the memory of one engine, among `engines` of which `busy` have a request, and how
/// many engines hold a part of it beside the first; none if it has to wait.
fn check_shared(prompt: u64, engines: u8, busy: u8, expected: Option<usize>) {
    let numbers: Vec<u8> = (1..=engines).collect();
    let mut fixture = Fixture::new(&numbers);
    let load = TargetLoad { requests: 1, memory: 100_000, ..IDLE };
    let loads: BTreeMap<_, _> =
        numbers.iter().take(busy.into()).map(|number| (format!("t{number}"), load)).collect();
    let now = fixture.now();
    fixture.pool.report("peer".into(), &LoadChanges::between(None, &loads), now);
    let need = Need { prompt, ..long() };
    let choice = fixture.choose(&need).ok();
    assert_eq!(choice.as_ref().map(|choice| held(choice).len()), expected);
    let Some(choice) = choice else { return };
    let parts: u64 = held(&choice).iter().sum();
    let rest = prompt + need.output - parts;
    assert!(rest <= engine().memory && held(&choice).iter().all(|&part| part <= engine().memory));
    let readers = choice.helpers.iter().map(|helper| &helper.target).chain([&choice.target]);
    assert!(readers.clone().all(|target| !loads.contains_key(target)));
    assert_eq!(readers.collect::<BTreeSet<_>>().len(), choice.helpers.len() + 1);
}

/// Returns the parts that helpers hold.
fn held(choice: &Choice) -> Vec<u64> {
    choice.helpers.iter().map(|helper| helper.holds).filter(|&holds| holds > 0).collect()
}

cases! {
    check_shared {
        /// Guards against a prompt that no engine takes though several could together.
        two_hold_it: (400_000, 30, 0, Some(1)),
        three_hold_it: (700_000, 60, 0, Some(2)),
        /// Guards against such a prompt beside the streams of others.
        busy_engines_are_left_out: (400_000, 30, 10, Some(1)),
        /// Guards against such a prompt that takes the engines of all others.
        too_few_idle: (400_000, 21, 12, None),
        /// Guards against a plan without the memory for it.
        too_large: (1_000_000, 3, 0, None),
    }
}

/// Guards against work for a zone that is taken out.
#[test]
fn zone_out_gets_nothing() {
    let mut fixture = Fixture::new(&[3, 6]);
    fixture.pool.take_out(BTreeSet::from(["z0".to_owned()]));
    assert_eq!(fixture.choose(&short()), Err(Shortage::NoTarget));
    fixture.pool.take_out(BTreeSet::new());
    assert!(fixture.choose(&short()).is_ok());
}

/// Guards against prompts that two entries send to one engine.
#[test]
fn loads_of_peers_count() {
    let mut fixture = Fixture::new(&[1, 2]);
    let first = fixture.choose(&long()).unwrap().target;
    let load = TargetLoad { requests: 3, read_ms: 5_000.0, memory: 200_000, ..Default::default() };
    let now = fixture.now();
    let loads = BTreeMap::from([(first.clone(), load)]);
    fixture.pool.report("peer".into(), &LoadChanges::between(None, &loads), now);
    assert_ne!(fixture.choose(&long()).unwrap().target, first);
    fixture.clock.advance(Duration::from_secs(3));
    assert_eq!(fixture.choose(&long()).unwrap().target, first);
}

/// Guards against taking a busy target for a dead one.
#[test]
fn target_that_answers_others_is_not_silent() {
    let mut fixture = Fixture::new(&[1]);
    let patience = Duration::from_millis(1_200);
    fixture.clock.advance(2 * SECOND);
    let now = fixture.now();
    assert!(fixture.pool.is_silent("t1", patience, now));
    fixture.pool.hear("t1", now);
    fixture.clock.advance(SECOND);
    assert!(!fixture.pool.is_silent("t1", patience, fixture.now()));
    fixture.clock.advance(SECOND);
    assert!(fixture.pool.is_silent("t1", patience, fixture.now()));
}

/// Returns the loads of one entry, of small numbers so that they change and vanish often.
fn loads(draws: &[(u8, u8)]) -> BTreeMap<String, TargetLoad> {
    let load = |draw: u8| TargetLoad {
        requests: u32::from(draw % 4) + 1,
        read_ms: f32::from(draw),
        ..TargetLoad::default()
    };
    draws.iter().map(|(id, draw)| (format!("t{}", id % 6), load(*draw))).collect()
}

/// Guards against a peer's picture of an entry's loads that drifts off over many reports.
#[test]
fn load_changes_add_up() {
    fn property(reports: Vec<Vec<(u8, u8)>>) -> bool {
        let mut known = None;
        let mut seen = BTreeMap::new();
        reports.iter().map(|draws| loads(draws)).all(|loads| {
            let changes = LoadChanges::between(known.as_ref(), &loads);
            changes.apply(known.get_or_insert_default());
            changes.apply(&mut seen);
            let requests = |loads: &BTreeMap<String, TargetLoad>| -> Vec<(String, u32)> {
                loads.iter().map(|(id, load)| (id.clone(), load.requests)).collect()
            };
            let near =
                loads.iter().all(|(id, load)| (load.read_ms - seen[id].read_ms).abs() < 20.0);
            requests(&loads) == requests(&seen) && near
        })
    }
    let generator = Gen::from_size_and_seed(40, 7);
    QuickCheck::new().rng(generator).quickcheck(property as fn(Vec<Vec<(u8, u8)>>) -> bool);
}
