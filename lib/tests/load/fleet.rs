//! Entries of several zones that place requests on shared engines, with the delays of their
//! exchanges.

use crate::engine::{Engine, Job, MODEL};
use fulmarhead_lib::{
    clock::Clock,
    limits::StartBound,
    placement::{
        AttemptResult, Backoff, LoadDelta, Member, MemberState, PlacementError, Pool, ReportSource,
        RequestProfile, TargetLoad, Work, WorkId,
    },
    routes::Service,
};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};
use testutils::ManualClock;
use twox_hash::XxHash64;

/// Step of the simulated time.
const TICK: Duration = Duration::from_millis(5);

/// Ticks between the exchanges of a member with its relay, and between zones.
const MEMBER_TICKS: usize = 20;
const ZONE_TICKS: usize = 30;

/// A kind of request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Kind {
    pub(crate) prompt_tokens: u64,
    pub(crate) events: u32,
    pub(crate) objective: Duration,
    pub(crate) max_gap: Duration,
}

/// Result of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The first event and all gaps were within the objectives.
    OnTime,
    /// The first event or a gap exceeded its objective.
    Late,
    /// No engine accepted the request.
    Refused,
}

#[derive(Debug)]
struct Request {
    kind: Kind,
    entry: usize,
    target: String,
    work: Option<WorkId>,
    helpers: Vec<(String, WorkId)>,
    last_event: Instant,
    is_late: bool,
    has_begun: bool,
}

/// A fleet whose entries exchange their loads through the relay of their zone, the first entry.
pub(crate) struct Fleet {
    clock: ManualClock,
    service: Service,
    zones: usize,
    pools: Vec<Pool>,
    engines: BTreeMap<String, Engine>,
    requests: BTreeMap<usize, Request>,
    outcomes: BTreeMap<Kind, Vec<Outcome>>,
    ticks: usize,
    sent: usize,
    seed: u64,
}

impl Fleet {
    /// Returns a fleet with `entries` entries and `engines` engines in `zones` zones. The same seed
    /// gives the same result.
    pub(crate) fn new(zones: usize, entries: usize, engines: usize, seed: u64) -> Self {
        let clock = ManualClock::default();
        let member = |number: usize| Member {
            id: format!("t{number}"),
            service: "pool".into(),
            address: ([10, 0, 0, number as u8], 80).into(),
            zone: format!("z{}", number % zones),
            state: MemberState::Ready,
            started_at: None,
        };
        let members: BTreeMap<String, Member> =
            (0..engines).map(member).map(|member| (member.id.clone(), member)).collect();
        let pools = (0..entries).map(|entry| {
            let bound = StartBound { rate_factor: 1.5, extra_starts: 5.0 };
            let mut pool = Pool::new(format!("z{}", entry % zones), bound);
            pool.update_members(members.clone(), Duration::ZERO, clock.now());
            pool
        });
        Self {
            service: Service { id: "pool".into(), cold_rate: 0.0, engine: Some(MODEL) },
            zones,
            pools: pools.collect(),
            engines: members.keys().map(|id| (id.clone(), Engine::default())).collect(),
            requests: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            clock,
            ticks: 0,
            sent: 0,
            seed,
        }
    }

    /// Plays `duration` with requests of each kind at its rate, in requests a second, that arrive
    /// at random times at random entries.
    pub(crate) fn play(&mut self, duration: Duration, rates: &[(Kind, f64)]) {
        for _ in 0..duration.as_millis() / TICK.as_millis() {
            for (kind, rate) in rates {
                // Several trials a tick approximate a Poisson process.
                for _ in 0..8 {
                    if self.draw() < rate * TICK.as_secs_f64() / 8.0 {
                        let entry = (self.draw() * self.pools.len() as f64) as usize;
                        self.send(*kind, entry);
                    }
                }
            }
            self.clock.advance(TICK);
            self.ticks += 1;
            self.run_engines();
            self.exchange();
        }
    }

    /// Returns the share of the requests of `kind` that were sent so far and ended on time.
    pub(crate) fn share_on_time(&self, kind: Kind) -> f64 {
        let outcomes = &self.outcomes[&kind];
        let on_time = outcomes.iter().filter(|outcome| **outcome == Outcome::OnTime).count();
        on_time as f64 / outcomes.len() as f64
    }

    fn send(&mut self, kind: Kind, entry: usize) {
        let now = self.clock.now();
        let profile = RequestProfile {
            prompt_tokens: kind.prompt_tokens,
            output_tokens: u64::from(kind.events) * u64::from(MODEL.stride),
            objective: kind.objective,
            max_gap: kind.max_gap,
            overdue: false,
            draw: XxHash64::oneshot(self.seed, &self.sent.to_le_bytes()),
        };
        let (entries, pool) = (self.pools.len(), &mut self.pools[entry]);
        let result = pool.choose(&self.service, &profile, &[], Backoff::Respect, entries, now);
        let choice = match result {
            Ok(choice) => choice,
            Err(PlacementError::Full | PlacementError::NoTarget | PlacementError::Paused(_)) => {
                self.outcomes.entry(kind).or_default().push(Outcome::Refused);
                return;
            }
        };
        self.sent += 1;
        let id = self.sent;
        let work = Work::new(&profile, choice.prefill_ms, now);
        let work = pool.begin_request(&choice.target, work, now);
        let helper_work = Work::for_helper(&profile, choice.prefill_ms, now);
        let helpers = choice.helpers.iter().filter_map(|helper| {
            Some((helper.target.clone(), pool.begin_helper(&helper.target, helper_work)?))
        });
        let helpers = helpers.collect();
        // Parts at helpers are modelled as prompts of the same prefill time with a single event.
        let parts = choice.helpers.len() as u64 + 1;
        let job = |prompt_tokens, remaining_events| Job {
            id,
            prompt_tokens,
            remaining_events,
            prefilled: false,
        };
        let part_tokens = kind.prompt_tokens / parts;
        for helper in &choice.helpers {
            let job = Job { id: 0, ..job(part_tokens, 1) };
            self.engines.get_mut(&helper.target).unwrap().accept(job, now);
        }
        let job = job(part_tokens, kind.events);
        self.engines.get_mut(&choice.target).unwrap().accept(job, now);
        self.requests.insert(
            id,
            Request {
                kind,
                entry,
                target: choice.target,
                work,
                helpers,
                last_event: now,
                is_late: false,
                has_begun: false,
            },
        );
    }

    fn run_engines(&mut self) {
        let now = self.clock.now();
        for engine in self.engines.values_mut() {
            for event in engine.advance(now) {
                let Some(request) = self.requests.get_mut(&event.id) else { continue };
                let pool = &mut self.pools[request.entry];
                let wait = event.at.saturating_duration_since(request.last_event);
                let limit = match request.has_begun {
                    true => request.kind.max_gap,
                    false => request.kind.objective,
                };
                request.is_late |= wait > limit;
                request.last_event = event.at;
                pool.record_activity(&request.target, now);
                if !request.has_begun {
                    request.has_begun = true;
                    pool.record_first_event(&request.target, request.work.unwrap());
                    for (target, work) in request.helpers.drain(..) {
                        pool.end_helper(&target, work);
                    }
                }
                if event.is_last
                    && let Some(request) = self.requests.remove(&event.id)
                {
                    let result = AttemptResult::Answered;
                    pool.end_request(&request.target, request.work, result, now);
                    let outcome = if request.is_late { Outcome::Late } else { Outcome::OnTime };
                    self.outcomes.entry(request.kind).or_default().push(outcome);
                }
            }
        }
    }

    /// Lets the entries exchange their loads, each at a tick of its own.
    fn exchange(&mut self) {
        let now = self.clock.now();
        for entry in 0..self.pools.len() {
            let relay = entry % self.zones;
            if entry != relay && (self.ticks + entry).is_multiple_of(MEMBER_TICKS) {
                let source = ReportSource::Member(entry.to_string());
                let loads = self.pools[entry].member_loads(now);
                self.report(relay, source.clone(), &loads, now);
                let loads = self.pools[relay].loads_without(&source, now);
                self.report(entry, ReportSource::Relay, &loads, now);
            }
            if entry == relay && (self.ticks + entry).is_multiple_of(ZONE_TICKS) {
                let loads = self.pools[entry].member_loads(now);
                for other in (0..self.zones).filter(|other| *other != entry) {
                    self.report(other, ReportSource::Zone(entry.to_string()), &loads, now);
                }
            }
        }
    }

    fn report(
        &mut self,
        entry: usize,
        source: ReportSource,
        loads: &BTreeMap<String, TargetLoad>,
        now: Instant,
    ) {
        let delta = LoadDelta::between(None, loads);
        self.pools[entry].update_report(source, 1, &delta, now);
    }

    /// Returns a random number in `0.0..1.0`.
    fn draw(&mut self) -> f64 {
        self.seed = XxHash64::oneshot(self.seed, b"draw");
        self.seed as f64 / u64::MAX as f64
    }
}
