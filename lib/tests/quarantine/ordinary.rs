//! Plays days on which targets crash for reasons that no request has to do with, and counts the
//! parts that are held nevertheless.

use fulmarhead_lib::{
    clock::Clock,
    forward::Progress,
    quarantine::{
        AnswerStage, CrashId, Feature, FeatureSet, Quarantine, RequestLoss, SUSTAINED_TIME,
    },
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{env, time::Duration};
use testutils::{ManualClock, cases};

const TARGETS: usize = 21;

/// Length of a day, in seconds.
const DAY: f64 = 40.0;

/// Requests a second.
const RATE: f64 = 48.0;

/// Number of parts that requests share; the first of them are in most requests.
const PARTS: f64 = 60.0;

/// Part that all requests of a day have if they come on one route.
const ROUTE_PART: u64 = 10_000_000;

/// Number of contents of requests.
const CONTENTS: f64 = 100_000.0;

/// Number of sessions whose requests share a part with each other alone.
const SESSIONS: u64 = 400;

/// Longest wait for the head of an answer, in seconds, with queues after a crash.
const MAX_WAIT: f64 = 0.3;

/// Time between the head of an answer and its first event, in seconds.
const FIRST_EVENT: f64 = 0.08;

/// Longest answer, in seconds.
const MAX_ANSWER: f64 = 3.0;

/// Number of attempts of one request, the retries of its caller included.
const ATTEMPTS: usize = 4;

/// Days that are played by default; `QUARANTINE_DAYS` sets another number.
const DAYS: u64 = 20;

/// A target that is down for some time, in seconds.
#[derive(Clone, Copy, Debug)]
struct Outage {
    target: usize,
    at: f64,
    until: f64,
}

/// What the entries see of one request.
#[derive(Clone, Debug)]
enum Event {
    Reached(AnswerStage, FeatureSet),
    Lost(RequestLoss),
}

/// Kinds of crashes of a day.
#[derive(Clone, Copy, Debug)]
enum Crashes {
    /// Each target crashes about once.
    Single,
    /// A third of the targets loses power at the same time, several times.
    Zone,
    /// Half of the targets crash again and again.
    Flapping,
    /// All targets crash at the same time, and again one after the other as they return cold.
    Cascade,
}

fn outages(kind: Crashes, random: &mut ChaCha8Rng) -> Vec<Outage> {
    let mut outages = Vec::new();
    let mut add = |target, at: f64, down: f64| {
        outages.push(Outage { target, at, until: at + down });
    };
    match kind {
        Crashes::Single => {
            (0..TARGETS).for_each(|target| add(target, random.random_range(0.0..DAY), 3.0));
        }
        Crashes::Zone => {
            for _ in 0..5 {
                let (zone, at) = (random.random_range(0..3), random.random_range(0.0..DAY));
                (0..TARGETS).filter(|target| target % 3 == zone).for_each(|target| {
                    add(target, at + random.random_range(0.0..0.02), 1.5);
                });
            }
        }
        Crashes::Flapping => {
            for target in 0..TARGETS / 2 {
                let mut at = random.random_range(0.0..2.0);
                while at < DAY {
                    add(target, at, 1.0);
                    at += random.random_range(1.5..3.0);
                }
            }
        }
        Crashes::Cascade => {
            for start in [5.0, 20.0] {
                for target in 0..TARGETS {
                    add(target, start, 3.0);
                    let again = start + 3.0 + random.random_range(0.05..2.0);
                    add(target, again, 3.0);
                }
            }
        }
    }
    outages
}

/// Returns the events of a request that arrives at `at`, with their times.
fn play_request(
    parts: &FeatureSet,
    mut at: f64,
    outages: &[Outage],
    random: &mut ChaCha8Rng,
) -> Vec<(f64, Event)> {
    let mut events = Vec::new();
    for _ in 0..ATTEMPTS {
        let is_up = |target: &usize| {
            !outages.iter().any(|it| it.target == *target && it.at <= at && at < it.until)
        };
        let up: Vec<usize> = (0..TARGETS).filter(is_up).collect();
        if up.is_empty() {
            at += 0.5;
            continue;
        }
        let target = up[random.random_range(0..up.len())];
        let head_at = at + random.random_range(0.02..MAX_WAIT);
        let event_at = head_at + FIRST_EVENT;
        let end = event_at + random.random_range(0.1..MAX_ANSWER);
        let crashes = outages.iter().filter(|it| it.target == target && it.at > at && it.at < end);
        let crash = crashes.map(|it| it.at).min_by(f64::total_cmp);
        let survived_at = end.min(event_at + SUSTAINED_TIME.as_secs_f64());
        let stages = [(event_at, AnswerStage::FirstEvent), (survived_at, AnswerStage::Sustained)];
        for (at, stage) in stages.into_iter().filter(|(at, _)| crash.is_none_or(|it| it >= *at)) {
            events.push((at, Event::Reached(stage, parts.clone())));
        }
        let Some(crash) = crash else { break };
        let progress = match crash {
            crash if crash < head_at => Progress::Waiting,
            crash if crash < event_at => Progress::Begun,
            crash if crash < survived_at => Progress::Started,
            _ => Progress::Streaming,
        };
        let crash_id = CrashId { target: format!("t{target} at {crash}"), started_at: None };
        let loss = RequestLoss { crash: crash_id, progress, features: parts.clone() };
        events.push((crash, Event::Lost(loss)));
        at = crash + 0.005;
    }
    events
}

/// Plays one day and returns the number of parts that were held. All requests share one part if
/// `is_one_route`.
fn play_day(kind: Crashes, is_one_route: bool, seed: u64) -> usize {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let outages = outages(kind, &mut random);
    let mut events = Vec::new();
    let mut at = 0.0;
    while at < DAY {
        at += -(1.0 - random.random::<f64>()).ln() / RATE;
        let part = PARTS.powf(random.random::<f64>()) as u64;
        let second = 1_000 + PARTS.powf(random.random::<f64>()) as u64;
        let session = 2_000 + random.random_range(0..SESSIONS);
        // Few contents come often, such as calls that many callers repeat.
        let content = CONTENTS.powf(random.random::<f64>()) as u64;
        let parts = [part, second, session].map(Feature::Part);
        let route = is_one_route.then_some(Feature::Part(ROUTE_PART));
        let features = parts.into_iter().chain(route).chain([Feature::Content(content)]).collect();
        events.extend(play_request(&features, at, &outages, &mut random));
    }
    events.sort_by(|(a, _), (b, _)| a.total_cmp(b));
    let clock = ManualClock::default();
    let mut quarantine = Quarantine::new("entry");
    let (mut holds, mut last) = (0, 0.0);
    for (at, event) in events {
        clock.advance(Duration::from_secs_f64(at - last));
        last = at;
        let now = clock.now();
        match event {
            Event::Reached(stage, parts) => quarantine.record_stage(stage, &parts, now),
            Event::Lost(loss) => holds += quarantine.record_losses(vec![(loss, now)], now).len(),
        }
    }
    holds
}

/// Guards against sound parts that are held because many requests with them were lost.
fn check_nothing_is_held(kind: Crashes, is_one_route: bool) {
    let days = env::var("QUARANTINE_DAYS").ok().and_then(|days| days.parse().ok()).unwrap_or(DAYS);
    let holds: Vec<(u64, usize)> = (0..days)
        .map(|seed| (seed, play_day(kind, is_one_route, seed)))
        .filter(|(_, holds)| *holds > 0)
        .collect();
    assert!(holds.is_empty(), "parts held on {} of {days} days, by seed: {holds:?}", holds.len());
}

cases! {
    check_nothing_is_held {
        single_crashes: (Crashes::Single, false),
        zone_power_failures: (Crashes::Zone, false),
        flapping_targets: (Crashes::Flapping, false),
        crashes_of_all_targets: (Crashes::Cascade, false),
        /// Guards against a part of all requests that is held while all targets crash.
        flapping_targets_of_one_route: (Crashes::Flapping, true),
        crashes_of_all_targets_of_one_route: (Crashes::Cascade, true),
    }
}
