//! Choice of targets on the shared platform.

use fulmarhead_lib::{
    clock::Clock,
    placement::{AttemptResult, Choice, Member, MemberState, Need, Pool, Shortage, Waive, Work},
    routes::{EngineModel, Service, WarmUp},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};
use testutils::{ManualClock, cases};

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

fn service() -> Service {
    let warm_up = WarmUp { period: Duration::from_secs(3), rate: 36.0 };
    Service { id: "pool".into(), connections: 400, warm_up, engine: Some(engine()) }
}

fn member(number: usize) -> Member {
    Member {
        id: format!("t{number}"),
        service: "pool".into(),
        address: ([10, 0, 0, number as u8], 80).into(),
        zone: format!("z{}", number % 3),
        state: MemberState::Ready,
        cold: Duration::ZERO,
        born: None,
    }
}

fn members(count: usize) -> BTreeMap<String, Member> {
    (0..count).map(member).map(|member| (member.id.clone(), member)).collect()
}

struct Fixture {
    clock: ManualClock,
    pool: Pool,
    service: Service,
}

impl Fixture {
    fn new(count: usize) -> Self {
        let clock = ManualClock::default();
        let mut pool = Pool::new("z0".into());
        pool.update(members(count), false, clock.now());
        Self { clock, pool, service: service() }
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
        self.pool.begin(&choice.target, Work::new(need, choice.read_ms, now), now);
        for helper in &choice.helpers {
            self.pool.help(&helper.target, Work::helping(need, choice.read_ms, now));
        }
        choice
    }
}

fn short() -> Need {
    Need {
        prompt: 5_000,
        output: 1_600,
        objective: Duration::from_millis(300),
        gap: Duration::from_millis(250),
        left: Duration::from_secs(10),
    }
}

fn long(prompt: u64) -> Need {
    Need {
        prompt,
        output: 800,
        objective: Duration::from_secs(3),
        gap: Duration::from_secs(1),
        left: Duration::from_secs(15),
    }
}

fn giant_is_planned_quickly(prompt: u64) {
    let mut fixture = Fixture::new(21);
    for _ in 0..40 {
        fixture.clock.advance(Duration::from_millis(500));
        fixture.send(&short());
    }
    let start = Instant::now();
    let _ = fixture.choose(&long(prompt));
    panic!("{:?}", start.elapsed());
}

cases! {
    giant_is_planned_quickly {
        a: (400_000),
        b: (700_000),
        c: (300_000),
    }
}
