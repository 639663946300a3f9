//! Tests of what entries tell each other.

use crate::fixture::{CRASHING, FIRST, Fixture, INTERVAL, SILENCE, SOUND};
use fulmarhead_lib::{
    clock::Clock,
    forward::Progress,
    ids::PromptPartId,
    quarantine::{Feature, FeatureSet, Quarantine},
};
use quickcheck::{TestResult, quickcheck};
use std::time::Duration;
use testutils::cases;

/// Largest encoded size, in bytes, of what one entry tells a new peer.
const MAX_NEWS_BYTES: usize = 256 << 10;

/// Spreads four crashes over `entry_count` entries that exchange in a ring, and checks that all of
/// them hold the part within `rounds` rounds.
fn check_spread(entry_count: usize, rounds: usize) {
    let mut fixture = Fixture::new(entry_count);
    for crash in 0..4 {
        for entry in 0..entry_count {
            fixture.answer(entry, &[FIRST]);
            fixture.answer(entry, &[FIRST]);
        }
        fixture.crash(crash % entry_count, &[FIRST, CRASHING]);
        fixture.clock.advance(INTERVAL);
    }
    for _ in 0..rounds {
        for entry in 0..entry_count {
            fixture.send(entry, (entry + 1) % entry_count);
        }
    }
    for entry in 0..entry_count {
        assert!(!fixture.allows(entry, &[FIRST, CRASHING]), "entry {entry}");
        assert!(fixture.allows(entry, &[FIRST]), "entry {entry}");
    }
}

cases! {
    check_spread {
        two_entries: (2, 2),
        /// Guards against entries that each see one crash and never add them up.
        four_entries: (4, 2),
        many_entries: (103, 2),
    }
}

/// Guards against the victim of a crash being suspected because another entry has the culprit.
#[test]
fn culprit_of_another_entry_explains_a_crash() {
    let mut fixture = Fixture::new(2);
    for crash in 0..12 {
        fixture.answer(0, &[FIRST]);
        fixture.answer(1, &[FIRST]);
        fixture.crash_of(crash, 0, Progress::Begun, &[FIRST, CRASHING]);
        fixture.crash_of(crash, 1, Progress::Waiting, &[FIRST, SOUND]);
        fixture.exchange_all();
        fixture.clock.advance(INTERVAL);
    }
    for entry in 0..2 {
        assert!(fixture.allows(entry, &[FIRST, SOUND]), "entry {entry}");
        assert!(!fixture.allows(entry, &[FIRST, CRASHING]), "entry {entry}");
    }
}

/// Guards against a part that only one side of a cut has answered staying suspected on the other.
#[test]
fn answers_of_a_peer_clear_a_part() {
    let mut fixture = Fixture::new(2);
    for _ in 0..3 {
        fixture.answer(0, &[SOUND]);
        fixture.crash(0, &[FIRST]);
        fixture.clock.advance(INTERVAL);
    }
    fixture.exchange_all();
    fixture.answer(1, &[FIRST]);
    fixture.clock.advance(Duration::from_secs(5));
    fixture.exchange_all();
    fixture.answer(0, &[SOUND]);
    fixture.answer(0, &[SOUND]);
    fixture.crash(0, &[FIRST]);
    assert!(fixture.allows(0, &[FIRST]));
}

/// Guards against an entry that starts in a quiet hour, or was cut off, and counts only the crashes that
/// it has seen itself.
#[test]
fn crashes_before_contact_count_in_a_quiet_hour() {
    let mut fixture = Fixture::new(2);
    for _ in 0..4 {
        fixture.clock.advance(SILENCE);
        fixture.crash(0, &[FIRST, CRASHING]);
    }
    fixture.exchange_all();
    assert!(fixture.allows(1, &[FIRST, CRASHING]), "held too early");
    fixture.clock.advance(SILENCE);
    fixture.crash(1, &[FIRST, CRASHING]);
    fixture.exchange_all();
    for entry in 0..2 {
        assert!(!fixture.allows(entry, &[FIRST, CRASHING]), "entry {entry}");
        assert!(fixture.allows(entry, &[FIRST, SOUND]), "entry {entry}");
    }
}

/// Crashes `count` targets under the load of requests with one part, which one of two entries has
/// answered before, and checks that the other one does not hold the part.
fn check_failing_fleet(count: u64) {
    let mut fixture = Fixture::new(2);
    fixture.answer(0, &[FIRST]);
    for crash in 0..count {
        fixture.clock.advance(SILENCE);
        for request in 0..4 {
            let content = Feature::Content(4 * crash + request);
            let features = FeatureSet::from([Feature::Part(FIRST), content]);
            match request {
                0 => fixture.lose(0, Progress::Begun, &features),
                _ => fixture.lose_at_same_target(0, Progress::Begun, &features),
            }
        }
        fixture.exchange_all();
        assert!(fixture.allows(1, &[FIRST]), "held after {} crashes", crash + 1);
    }
}

cases! {
    check_failing_fleet {
        /// Guards against an entry that starts while all targets fail under their load, and blames a
        /// part of all requests because it has not seen the answers that its peers have.
        seven_targets_fail: (7),
        sixteen_targets_fail: (16),
    }
}

/// Guards against two entries that have both held the part on either side of a cut and never agree.
#[test]
fn sides_of_a_cut_agree_after_it() {
    let mut fixture = Fixture::new(2);
    for _ in 0..4 {
        for entry in 0..2 {
            fixture.answer(entry, &[FIRST]);
            fixture.answer(entry, &[FIRST]);
            fixture.crash(entry, &[FIRST, CRASHING]);
        }
        fixture.clock.advance(INTERVAL);
    }
    fixture.exchange_all();
    let summaries: Vec<_> = fixture.entries.iter().map(Quarantine::summary).collect();
    assert_eq!(summaries[0], summaries[1]);
    assert!((0..2).all(|entry| !fixture.allows(entry, &[CRASHING])));
}

/// Guards against messages that grow with the traffic: each request brings new parts, and each is
/// lost in a crash.
#[test]
fn news_are_bounded() {
    let mut fixture = Fixture::new(1);
    for round in 0..2_000_u64 {
        let parts: Vec<PromptPartId> = (0..16).map(|part| round * 16 + part).collect();
        fixture.crash(0, &parts);
        fixture.answer(0, &parts);
        fixture.clock.advance(INTERVAL);
    }
    let (news, _) = fixture.entries[0].news_since(0, fixture.clock.now());
    let size = serde_json::to_vec(&news).unwrap().len();
    assert!(size <= MAX_NEWS_BYTES, "{size} bytes");
}

/// One thing that an entry sees, from random numbers.
fn apply(fixture: &mut Fixture, (kind, entry, part): (u8, u8, u8)) {
    let entry = usize::from(entry) % fixture.entries.len();
    let parts = [FIRST, PromptPartId::from(part % 4)];
    match kind % 4 {
        0 => fixture.crash(entry, &parts),
        1 => fixture.answer(entry, &parts),
        2 => fixture.send(entry, (entry + 1) % 3),
        _ => fixture.clock.advance(INTERVAL),
    }
}

quickcheck! {
    /// Guards against entries that end with different beliefs after all have told each other
    /// everything, or that never stop telling.
    fn entries_agree_in_the_end(steps: Vec<(u8, u8, u8)>) -> TestResult {
        let mut fixture = Fixture::new(3);
        for step in steps {
            apply(&mut fixture, step);
        }
        fixture.exchange_all();
        let crashes: Vec<_> =
            fixture.entries.iter().map(|entry| entry.summary().crashes).collect();
        TestResult::from_bool(crashes.iter().all(|count| *count == crashes[0]))
    }
}
