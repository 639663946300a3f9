//! Tests of quiet hours, in which requests with a part that crashes targets come at a slow pace, and
//! few others or none.

use crate::fixture::{CRASHING, FIRST, Fixture, SOUND};
use fulmarhead_lib::{
    clock::Clock,
    forward::Progress::{self, Begun, Started, Waiting},
    ids::ContentDigest,
    quarantine::{CrashId, Feature, FeatureSet, RequestLoss},
};
use std::time::{Duration, Instant};
use testutils::cases;

/// Crash from which the late requests count, and how many of these callers allow.
const COUNTED_CRASH: usize = 5;
const MAX_LATE: usize = 3;

/// Time after that crash from which requests are late.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Time from the arrival of a request at a target until that crashes.
const CRASH_TIME: Duration = Duration::from_millis(31);

/// Time from a crash until it is confirmed and until all entries know of it.
const CONFIRM_TIME: Duration = Duration::from_millis(21);
const EXCHANGE_TIME: Duration = Duration::from_millis(80);

/// Interval of the reviews of the evidence.
const REVIEW_INTERVAL: Duration = Duration::from_millis(250);

/// Number of requests with the crashing part.
const REQUESTS: usize = 30;

/// Number of targets that one request crashes if it is sent again at once.
const ATTEMPTS: usize = 2;

/// Requests with the crashing part, and what else comes.
#[derive(Clone, Copy, Debug)]
struct QuietHour {
    /// Interval of the requests with the crashing part.
    interval: Duration,
    /// Number of these that arrive together, each at the next entry.
    batch: usize,
    /// Number of times that each request is sent in turn.
    repeats: usize,
    /// Whether these reach the same target.
    one_target: bool,
    /// How far their answers come before their targets crash.
    progress: Progress,
    entry_count: usize,
    /// Whether a request with the part was answered before.
    was_answered: bool,
    /// Interval of sound requests with the same first part; `None` without any.
    sound_interval: Option<Duration>,
}

const HOUR: QuietHour = QuietHour {
    interval: Duration::from_secs(3),
    batch: 1,
    repeats: 1,
    one_target: false,
    progress: Begun,
    entry_count: 2,
    was_answered: false,
    sound_interval: None,
};

/// Returns the features of a request whose second part is `part`.
fn request(part: u64, content: usize) -> FeatureSet {
    let content = Feature::Content(content as ContentDigest);
    [Feature::Part(FIRST), Feature::Part(part), content].into()
}

/// A play of a quiet hour.
struct Play {
    fixture: Fixture,
    hour: QuietHour,
    /// Times at which requests with the crashing part reached targets, and of the crashes.
    sends: Vec<Instant>,
    crashes: Vec<Instant>,
    next_sound: Option<Instant>,
}

impl Play {
    fn new(hour: QuietHour) -> Self {
        let fixture = Fixture::new(hour.entry_count);
        let next_sound = hour.sound_interval.map(|_| fixture.clock.now());
        Self { fixture, hour, sends: Vec::new(), crashes: Vec::new(), next_sound }
    }

    /// Returns the features of the crashing request of position `number`.
    fn crashing(&self, number: usize) -> FeatureSet {
        request(CRASHING, number / self.hour.repeats)
    }

    /// Sends the requests that arrive together at the entries from `first` on, again if they are lost.
    fn send_batch(&mut self, first: usize) {
        let mut open: Vec<usize> = (first..first + self.hour.batch).collect();
        for _ in 0..ATTEMPTS {
            let now = self.fixture.clock.now();
            open.retain(|number| {
                let features = self.crashing(*number);
                let entry = &mut self.fixture.entries[number % self.hour.entry_count];
                entry.begin_send(&features, now).is_ok()
            });
            self.sends.extend(open.iter().map(|_| now));
            self.fixture.clock.advance(CRASH_TIME);
            // A request is sent again before its crash is confirmed.
            let entries = self.fixture.entries.clone();
            let at = self.lose(&open);
            open.retain(|number| {
                let entry = &entries[number % self.hour.entry_count];
                let is_waiting = self.hour.progress == Waiting;
                is_waiting || !entry.is_suspected(&self.crashing(*number), at)
            });
        }
        self.fixture.clock.advance(EXCHANGE_TIME);
        self.fixture.exchange_all();
    }

    /// Crashes the targets of the requests `open` now, and returns that time.
    fn lose(&mut self, open: &[usize]) -> Instant {
        let at = self.fixture.clock.now();
        let first_target = self.crashes.len();
        let target_count = if self.hour.one_target { open.len().min(1) } else { open.len() };
        self.crashes.extend((0..target_count).map(|_| at));
        for (position, number) in open.iter().copied().enumerate() {
            let target = first_target + if self.hour.one_target { 0 } else { position };
            let crash = CrashId { target: format!("t{target}"), started_at: None };
            let features = self.crashing(number);
            let loss = RequestLoss { crash, progress: self.hour.progress, features };
            let entry = &mut self.fixture.entries[number % self.hour.entry_count];
            entry.record_losses(vec![(loss, at)], at + CONFIRM_TIME);
        }
        at
    }

    /// Lets time pass until `end`, with reviews of the evidence and sound requests.
    fn wait_until(&mut self, end: Instant) {
        while self.fixture.clock.now() + REVIEW_INTERVAL <= end {
            self.fixture.clock.advance(REVIEW_INTERVAL);
            let now = self.fixture.clock.now();
            if self.next_sound.is_some_and(|at| at <= now) {
                self.fixture.answer_to(0, &request(SOUND, 1_000_000 + self.sends.len()));
                self.next_sound = self.hour.sound_interval.map(|interval| now + interval);
            }
            for entry in &mut self.fixture.entries {
                entry.review(now);
            }
            self.fixture.exchange_all();
        }
    }

    /// Returns the number of requests that reached targets later than callers allow.
    fn late_count(&self) -> usize {
        let counted = self.crashes.get(COUNTED_CRASH - 1).map(|at| *at + CONTACT_TIME);
        self.sends.iter().filter(|at| counted.is_some_and(|counted| **at > counted)).count()
    }
}

/// Plays `hour`, and checks that no more requests with the part than callers allow reach targets late,
/// and that sound requests with the same first part are sent.
fn check_late_requests(hour: QuietHour) {
    let mut play = Play::new(hour);
    if hour.was_answered {
        play.fixture.answer_to(0, &request(CRASHING, 999_999));
    }
    play.wait_until(play.fixture.clock.now() + Duration::from_secs(3));
    let start = play.fixture.clock.now();
    for batch in 0..REQUESTS / hour.batch {
        play.wait_until(start + hour.interval * batch as u32);
        play.send_batch(batch * hour.batch);
    }
    let late = play.late_count();
    let crashes = play.crashes.len();
    assert!(late <= MAX_LATE, "{late} late requests, {crashes} crashes");
    for entry in 0..hour.entry_count {
        assert!(!play.fixture.sends(entry, &request(CRASHING, 0)), "entry {entry} holds nothing");
        assert!(
            play.fixture.sends(entry, &request(SOUND, 1)),
            "entry {entry} refuses a sound request"
        );
    }
}

const fn every(interval_ms: u64) -> QuietHour {
    QuietHour { interval: Duration::from_millis(interval_ms), ..HOUR }
}

cases! {
    check_late_requests {
        /// Guards against a part that crashes target after target because so little else comes that
        /// its evidence has to be far stronger than usual.
        one_request_in_two_hundred_ms: (every(200)),
        one_request_in_a_second: (every(1_000)),
        one_request_in_two_seconds: (every(2_000)),
        one_request_in_three_seconds: (every(3_000)),
        one_request_in_five_seconds: (every(5_000)),
        one_request_in_a_minute: (every(60_000)),
        one_entry: (QuietHour { entry_count: 1, ..HOUR }),
        six_entries: (QuietHour { entry_count: 6, ..HOUR }),
        sound_requests_now_and_then: (
            QuietHour { sound_interval: Some(Duration::from_secs(20)), ..HOUR }
        ),
        /// Guards against a part that is never held because it was answered before it crashed targets.
        answered_before: (QuietHour { was_answered: true, ..HOUR }),
        answered_before_slow: (QuietHour { was_answered: true, ..every(10_000) }),
        answered_before_and_sound_requests: (
            QuietHour {
                was_answered: true, sound_interval: Some(Duration::from_secs(20)), ..every(5_000)
            }
        ),
        /// Guards against targets that crash at another moment of the answer, which is weaker evidence.
        after_the_first_event: (QuietHour { progress: Started, ..every(5_000) }),
        after_the_first_event_answered_before: (
            QuietHour { progress: Started, was_answered: true, ..every(5_000) }
        ),
        before_the_head: (QuietHour { progress: Waiting, ..every(5_000) }),
        before_the_head_in_a_minute: (QuietHour { progress: Waiting, ..every(60_000) }),
        before_the_head_answered_before: (
            QuietHour { progress: Waiting, was_answered: true, ..every(5_000) }
        ),
        /// Guards against crashes that do not count because others happen at the same time.
        two_at_a_time: (QuietHour { batch: 2, ..every(5_000) }),
        four_at_a_time: (QuietHour { batch: 4, ..every(5_000) }),
        two_at_a_time_at_one_target: (QuietHour { batch: 2, one_target: true, ..every(5_000) }),
        four_at_a_time_at_one_target: (QuietHour { batch: 4, one_target: true, ..every(5_000) }),
        /// Guards against a part that is not held because its first requests are repeated.
        each_sent_twice: (QuietHour { repeats: 2, ..every(5_000) }),
        each_sent_until_it_is_refused: (QuietHour { repeats: 6, ..every(5_000) }),
        two_at_a_time_answered_before: (QuietHour { batch: 2, was_answered: true, ..every(5_000) }),
    }
}
