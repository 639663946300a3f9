//! A pool of engines like those of the users' deployments.

use fulmarhead_lib::{
    clock::Clock,
    limits::StartBound,
    placement::{Choice, Member, MemberState, Need, Pool, Shortage, TargetLoad, Waive, Work},
    routes::{EngineModel, Service},
};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};
use testutils::ManualClock;

pub(crate) const SECOND: Duration = Duration::from_secs(1);

/// Bounds of the users' deployments.
pub(crate) const STARTS: StartBound = StartBound { overrun: 1.5, tolerance: 5.0 };

pub(crate) const IDLE: TargetLoad =
    TargetLoad { requests: 0, writing: 0, read_ms: 0.0, memory: 0, short: 0 };

/// Engines of the users' deployments, as their configuration describes them.
pub(crate) fn engine() -> EngineModel {
    EngineModel {
        slots: 16,
        memory: 315_000,
        step_ms: 0.85,
        sequence_ms: 0.004_25,
        context_ms: 0.002_85,
        read_rate: 177.0,
        pairs_ms: 0.184,
        stride: 51,
    }
}

pub(crate) fn service(rate: f64) -> Service {
    Service { id: "pool".into(), cold_rate: rate, engine: Some(engine()) }
}

pub(crate) fn member(number: u8) -> Member {
    Member {
        id: format!("t{number}"),
        service: "pool".into(),
        address: ([10, 0, 0, number], 80).into(),
        zone: format!("z{}", number % 3),
        state: MemberState::Ready,
        born: None,
    }
}

pub(crate) fn members(numbers: &[u8]) -> BTreeMap<String, Member> {
    numbers.iter().map(|&number| member(number)).map(|member| (member.id.clone(), member)).collect()
}

pub(crate) struct Fixture {
    pub(crate) clock: ManualClock,
    pub(crate) pool: Pool,
    pub(crate) service: Service,
}

impl Fixture {
    pub(crate) fn new(numbers: &[u8]) -> Self {
        let clock = ManualClock::default();
        let mut pool = Pool::new("z0".into(), STARTS);
        pool.update(members(numbers), false, clock.now());
        Self { clock, pool, service: service(0.0) }
    }

    pub(crate) fn now(&self) -> Instant {
        self.clock.now()
    }

    pub(crate) fn choose(&mut self, need: &Need) -> Result<Choice, Shortage> {
        let now = self.now();
        self.pool.choose(&self.service, need, &[], Waive::Nothing, 3, now)
    }

    pub(crate) fn send(&mut self, need: &Need) -> Choice {
        let choice = self.choose(need).unwrap();
        let now = self.now();
        self.pool.begin(&choice.target, Work::new(need, choice.read_ms, now), now).unwrap();
        for helper in &choice.helpers {
            self.pool.help(&helper.target, Work::helping(need, choice.read_ms, now)).unwrap();
        }
        choice
    }
}

pub(crate) fn short() -> Need {
    Need {
        prompt: 2_000,
        output: 1_600,
        objective: Duration::from_millis(300),
        gap: Duration::from_millis(250),
        overdue: false,
        draw: 1,
    }
}

pub(crate) fn long() -> Need {
    Need {
        prompt: 154_000,
        output: 800,
        objective: Duration::from_secs(3),
        gap: Duration::from_secs(1),
        overdue: false,
        draw: 1,
    }
}
