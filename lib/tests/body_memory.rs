//! Tests of the memory for bodies that a process holds for callers.

use fulmarhead_lib::{
    clock::Clock,
    ids::BodyId,
    limits::{BodyKind, BodyMemory, Growth, SMALL_BODY_BYTES, STALL_TIME, connection_limit},
};
use quickcheck::quickcheck;
use std::time::Duration;
use testutils::{ManualClock, cases};

/// Memory of a process, of which 25 MB are for bodies and 18.75 MB for large ones.
const PROCESS_BYTES: u64 = 100_000_000;

/// Size of a large body.
const LARGE: usize = 1_000_000;

const REQUEST: BodyKind = BodyKind::Request { copies: 1 };

/// Bodies that hold the memory of a process.
struct Scene {
    clock: ManualClock,
    memory: BodyMemory,
}

impl Scene {
    fn new() -> Self {
        Self { clock: ManualClock::default(), memory: BodyMemory::new(PROCESS_BYTES) }
    }

    /// Lets a new body grow to `bytes`.
    fn add(&mut self, kind: BodyKind, bytes: usize) -> (BodyId, Growth) {
        let id = self.memory.begin(kind, self.clock.now());
        let growth = self.memory.grow(id, bytes, self.clock.now());
        if growth == Growth::Refused {
            self.memory.release(id);
        }
        (id, growth)
    }

    /// Adds bodies of `bytes` until one is not admitted, and returns the admitted ones.
    fn fill(&mut self, kind: BodyKind, bytes: usize) -> Vec<BodyId> {
        let mut admitted = Vec::new();
        loop {
            match self.add(kind, bytes) {
                (id, Growth::Granted) => admitted.push(id),
                _ => return admitted,
            }
        }
    }
}

fn check_admitted(kind: BodyKind, bytes: usize, expected: usize) {
    assert_eq!(Scene::new().fill(kind, bytes).len(), expected);
}

/// Checks the growth of one more body beside large ones that use up their part and have made no
/// progress for `pause`.
fn check_growth(kind: BodyKind, bytes: usize, pause: Duration, expected: Growth) {
    let mut scene = Scene::new();
    scene.fill(REQUEST, LARGE);
    scene.clock.advance(pause);
    assert_eq!(scene.add(kind, bytes).1, expected);
}

cases! {
    check_admitted {
        /// Guards against large bodies that leave nothing for small ones.
        large_bodies_get_three_quarters: (REQUEST, LARGE, 18),
        /// Guards against small bodies that are refused although there is memory.
        small_bodies_get_all: (REQUEST, SMALL_BODY_BYTES, 762),
        /// Guards against copies of a body that are not accounted.
        copies_are_accounted: (BodyKind::Request { copies: 3 }, LARGE, 6),
    }
    check_growth {
        /// Guards against admitting more than there is.
        large_body_is_refused: (REQUEST, LARGE, Duration::ZERO, Growth::Refused),
        /// Guards against refusing ordinary bodies because of large ones.
        small_body_is_admitted: (REQUEST, SMALL_BODY_BYTES, Duration::ZERO, Growth::Granted),
        /// Guards against stalled bodies that keep others out. One of them is enough.
        stalled_body_is_ended: (REQUEST, LARGE, STALL_TIME, Growth::Wait(vec![1])),
        /// Guards against refusing the response of a request that has run.
        response_uses_the_rest: (
            BodyKind::Response, 4 * LARGE, Duration::ZERO, Growth::Granted,
        ),
        /// Guards against the same when nothing is left.
        response_waits: (
            BodyKind::Response, 9 * LARGE, Duration::ZERO, Growth::Wait(Vec::new()),
        ),
    }
}

/// Guards against a process that serves no large body because its memory is low.
#[test]
fn one_large_body_is_always_admitted() {
    let mut memory = BodyMemory::new(0);
    let clock = ManualClock::default();
    let id = memory.begin(REQUEST, clock.now());
    assert_eq!(memory.grow(id, 4 << 20, clock.now()), Growth::Granted);
}

fn check_connections(process_mb: u64, max: usize, expected: usize) {
    assert_eq!(connection_limit(process_mb << 20, max), expected);
}

cases! {
    check_connections {
        /// Guards against fewer connections than before on the VMs of the platform.
        smallest_gateway: (160, 1_500, 1_500),
        default_of_the_entry: (1_024, 10_000, 10_000),
        /// Guards against heads that take more than a small process has.
        small_process: (16, 1_500, 256),
        /// Guards against a process that accepts nothing.
        no_memory: (0, 1_500, 64),
    }
}

/// Guards against keeping a stalled body whose connection others need, and against ending it twice.
#[test]
fn all_stalled_bodies_are_ended() {
    let mut scene = Scene::new();
    let (stalled, _) = scene.add(REQUEST, SMALL_BODY_BYTES);
    scene.add(BodyKind::Response, LARGE);
    scene.clock.advance(STALL_TIME);
    scene.add(REQUEST, SMALL_BODY_BYTES);
    assert_eq!(scene.memory.end_all_stalled(scene.clock.now()), [stalled]);
    assert!(scene.memory.end_all_stalled(scene.clock.now()).is_empty());
}

/// Guards against ending bodies that make progress, or that are complete.
#[test]
fn bodies_in_progress_are_kept() {
    let mut scene = Scene::new();
    let bodies = scene.fill(REQUEST, LARGE);
    scene.memory.complete(bodies[0], LARGE);
    scene.clock.advance(STALL_TIME);
    for &id in &bodies[1..] {
        scene.memory.record_progress(id, scene.clock.now());
    }
    assert_eq!(scene.add(REQUEST, LARGE).1, Growth::Refused);
}

/// Guards against ending more bodies than needed while the first one still holds its memory.
#[test]
fn ended_body_is_not_ended_twice() {
    let mut scene = Scene::new();
    scene.fill(REQUEST, LARGE);
    scene.clock.advance(STALL_TIME);
    let (waiting, growth) = scene.add(REQUEST, LARGE);
    assert_eq!(growth, Growth::Wait(vec![1]));
    let now = scene.clock.now();
    assert_eq!(scene.memory.grow(waiting, LARGE, now), Growth::Wait(Vec::new()));
    scene.memory.release(1);
    assert_eq!(scene.memory.grow(waiting, LARGE, now), Growth::Granted);
}

/// Guards against a body that is ended to make room for itself.
#[test]
fn body_does_not_end_itself() {
    let mut scene = Scene::new();
    let bodies = scene.fill(REQUEST, LARGE);
    scene.clock.advance(STALL_TIME);
    let now = scene.clock.now();
    let growth = scene.memory.grow(bodies[0], LARGE, now);
    assert_eq!(growth, Growth::Wait(vec![bodies[1]]));
}

/// Guards against ordinary bodies that are refused while responses which can't go on hold all
/// memory, and against ending more of them than needed.
#[test]
fn waiting_response_is_ended_for_an_ordinary_body() {
    let mut scene = Scene::new();
    let responses = scene.fill(BodyKind::Response, LARGE);
    scene.add(REQUEST, SMALL_BODY_BYTES - 1);
    let now = scene.clock.now();
    let growth = scene.memory.grow(responses[1], LARGE, now);
    assert_eq!(growth, Growth::Wait(Vec::new()));
    let (_, growth) = scene.add(REQUEST, SMALL_BODY_BYTES);
    assert_eq!(growth, Growth::Wait(vec![responses[1]]));
    // A large one is refused, since it may be sent again.
    assert_eq!(scene.add(REQUEST, LARGE).1, Growth::Refused);
}

/// Guards against the same with a response of which no bytes arrive.
#[test]
fn stalled_response_is_ended_for_an_ordinary_body() {
    let mut scene = Scene::new();
    let responses = scene.fill(BodyKind::Response, LARGE);
    assert_eq!(scene.add(REQUEST, SMALL_BODY_BYTES).1, Growth::Refused);
    scene.clock.advance(STALL_TIME);
    let (_, growth) = scene.add(REQUEST, SMALL_BODY_BYTES);
    assert_eq!(growth, Growth::Wait(vec![responses[0]]));
}

/// Guards against responses that wait for each other's memory until their deadlines: the largest of
/// them is ended, whichever asks.
#[test]
fn largest_of_the_waiting_responses_is_ended() {
    let mut scene = Scene::new();
    let (largest, _) = scene.add(BodyKind::Response, 13 * LARGE);
    let (other, _) = scene.add(BodyKind::Response, 12 * LARGE);
    let now = scene.clock.now();
    for id in [largest, other] {
        assert_eq!(scene.memory.grow(id, LARGE, now), Growth::Wait(Vec::new()));
    }
    scene.clock.advance(STALL_TIME);
    let now = scene.clock.now();
    assert_eq!(scene.memory.grow(largest, LARGE, now), Growth::Refused);
    assert_eq!(scene.memory.grow(other, LARGE, now), Growth::Wait(vec![largest]));
}

/// Guards against ending a response that waits while others go on and will release their memory.
#[test]
fn response_waits_beside_bodies_in_progress() {
    let mut scene = Scene::new();
    let responses = scene.fill(BodyKind::Response, LARGE);
    let (waiting, _) = scene.add(BodyKind::Response, LARGE);
    scene.clock.advance(STALL_TIME);
    let now = scene.clock.now();
    responses.iter().for_each(|&id| scene.memory.record_progress(id, now));
    assert_eq!(scene.memory.grow(waiting, LARGE, now), Growth::Wait(Vec::new()));
}

quickcheck! {
    /// Guards against memory that is lost or released twice: whatever bodies do, the total is what
    /// the bodies hold, stays within the capacity, and is 0 at the end.
    fn total_is_exact(steps: Vec<(u8, u8, u32)>) -> bool {
        let mut scene = Scene::new();
        let mut held: Vec<(BodyId, usize)> = Vec::new();
        for (action, index, bytes) in steps {
            let (bytes, now) = (bytes as usize % (8 * LARGE), scene.clock.now());
            let index = usize::from(index) % held.len().max(1);
            match (action % 4, held.get_mut(index)) {
                (0, Some((id, size))) => {
                    let growth = scene.memory.grow(*id, bytes, now);
                    *size += if growth == Growth::Granted { bytes } else { 0 };
                }
                (1, Some((id, size))) => {
                    scene.memory.complete(*id, bytes);
                    *size = bytes.min(*size);
                }
                (2, Some(&mut (id, _))) => {
                    scene.memory.release(id);
                    scene.memory.release(id);
                    held.remove(index);
                }
                _ => held.push((scene.memory.begin(REQUEST, now), 0)),
            }
            scene.clock.advance(Duration::from_millis(300));
            let sum: usize = held.iter().map(|(_, size)| size).sum();
            if scene.memory.held() != sum || sum > scene.memory.capacity() {
                return false;
            }
        }
        held.iter().for_each(|(id, _)| scene.memory.release(*id));
        scene.memory.held() == 0
    }
}
