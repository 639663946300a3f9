//! Where an entry sends a piece of work.

use fulmarhead_lib::{
    admission::PrefillQueue,
    control::Load,
    cost::Cost,
    ids::Tokens,
    outcome::Reason,
    routing::{Backlog, Candidate, Decision, Need, PolicyKind, Router, RouterSettings, Since},
};
use std::time::Duration;
use testutils::cases;

const LOAD: Load = Load {
    running: 0,
    cap: 64,
    prefill: 0,
    medium_prefill: 0,
    long_prefill: 0,
    kv_used: 0,
    kv_total: 450_000,
    prefill_rate: 400_000,
};

fn candidate(target: &str, load: Load) -> Candidate {
    Candidate {
        target: target.to_owned(),
        zone: "a".to_owned(),
        load,
        age: Duration::ZERO,
        inflight: load.running,
        since: Since::default(),
        refused: false,
        takes_long: true,
        cached: 0,
    }
}

fn need(prompt: Tokens) -> Need {
    let cost = Cost { prompt, output: 32 };
    Need { cost, waited: Duration::ZERO, remaining: Duration::from_secs(30), begun: false }
}

fn router(entries: usize) -> Router {
    let settings = RouterSettings {
        policy: PolicyKind::ExpectedWait,
        zone: "a".to_owned(),
        ..RouterSettings::default()
    };
    let mut router = Router::new(settings);
    router.configure(entries, 0.5);
    router
}

/// Checks the choice between candidates that are named `0`, `1` and so on; `wait` stands for none.
fn check_choice(need: Need, candidates: Vec<Candidate>, expected: &str) {
    let chosen = match router(2).decide(need, &candidates, 1) {
        Decision::Send(candidate) => candidate.target.clone(),
        Decision::Wait => "wait".to_owned(),
        Decision::Refuse(refusal) => refusal.reason.to_string(),
    };
    assert_eq!(chosen, expected);
}

fn long_queue(tokens: Tokens) -> Load {
    Load { prefill: tokens, long_prefill: tokens, ..LOAD }
}

fn aged(prompt: Tokens) -> Need {
    Need { waited: Duration::from_secs(10), remaining: Duration::from_secs(20), ..need(prompt) }
}

cases! {
    check_choice {
        /// Guards against short prompts behind long ones.
        short_prompt_avoids_long_prefill: (
            need(4_000), vec![candidate("0", long_queue(400_000)), candidate("1", LOAD)], "1",
        ),
        /// Guards against a second long prefill at one engine.
        long_prompt_waits_for_another: (
            need(200_000), vec![candidate("0", long_queue(400_000))], "wait",
        ),
        /// Guards against long prompts at engines that are kept for others.
        long_prompt_keeps_to_its_engines: (
            need(200_000), vec![Candidate { takes_long: false, ..candidate("0", LOAD) }], "wait",
        ),
        /// Guards against a long prompt that waits for ever.
        aged_prompt_uses_every_engine: (
            aged(200_000), vec![Candidate { takes_long: false, ..candidate("0", LOAD) }], "0",
        ),
        /// Guards against an aged prompt that never asks for its turn at an agent.
        aged_prompt_insists: (aged(200_000), vec![candidate("0", long_queue(400_000))], "0"),
        /// Guards against the choice of a target that has just refused such work.
        refused_target_is_left_out: (
            need(4_000),
            vec![
                Candidate { refused: true, ..candidate("0", LOAD) },
                candidate("1", Load { running: 9, ..LOAD }),
            ],
            "1",
        ),
        /// Guards against a herd on the target that looked best at the last report.
        own_sends_since_the_report_count: (
            need(4_000),
            vec![
                Candidate {
                    since: Since {
                        queue: PrefillQueue { short: 90_000, ..PrefillQueue::default() },
                        ..Since::default()
                    },
                    ..candidate("0", LOAD)
                },
                candidate("1", Load { prefill: 20_000, ..LOAD }),
            ],
            "1",
        ),
        /// Guards against work that the reported queue has lost since.
        queue_shrinks_between_reports: (
            need(4_000),
            vec![
                Candidate {
                    age: Duration::from_millis(200),
                    ..candidate("0", Load { prefill: 80_000, ..LOAD })
                },
                candidate("1", Load { prefill: 20_000, ..LOAD }),
            ],
            "0",
        ),
        /// Guards against traffic between zones without a reason.
        own_zone_is_preferred: (
            need(4_000),
            vec![Candidate { zone: "b".to_owned(), ..candidate("0", LOAD) }, candidate("1", LOAD)],
            "1",
        ),
        /// Guards against a queue in the own zone while the other zone is idle.
        other_zone_is_used_under_load: (
            need(4_000),
            vec![
                Candidate { zone: "b".to_owned(), ..candidate("0", LOAD) },
                candidate("1", Load { prefill: 40_000, ..LOAD }),
            ],
            "0",
        ),
        /// Guards against prefill that a cache would save.
        cached_prefix_attracts: (
            need(40_000),
            vec![
                Candidate { cached: 32_000, ..candidate("0", Load { prefill: 10_000, ..LOAD }) },
                candidate("1", LOAD),
            ],
            "0",
        ),
        /// Guards against a popular prefix that overloads one engine.
        cached_prefix_yields_to_load: (
            need(40_000),
            vec![
                Candidate { cached: 32_000, ..candidate("0", Load { prefill: 60_000, ..LOAD }) },
                candidate("1", LOAD),
            ],
            "1",
        ),
        /// Guards against engines without memory for the prompt.
        full_memory_is_avoided: (
            need(50_000), vec![candidate("0", Load { kv_used: 410_000, ..LOAD })], "wait",
        ),
        /// Guards against a target at its cap.
        full_target_is_avoided: (
            need(4_000), vec![candidate("0", Load { running: 64, ..LOAD })], "wait",
        ),
        /// Guards against prefill that can't end in time and is thrown away.
        unreachable_deadline_is_refused: (
            Need { remaining: Duration::from_millis(400), ..need(200_000) },
            vec![candidate("0", LOAD)],
            "deadline_unreachable",
        ),
        /// Guards against a refusal where there is nothing to compare yet.
        no_candidate_waits: (need(4_000), vec![], "wait"),
    }
}

/// Guards against all entries sending to a zone that returns cold at once: 100 entries that see
/// the same 4 free slots send about 4 requests together.
#[test]
fn entries_share_cold_targets() {
    let cold = candidate("0", Load { cap: 4, ..LOAD });
    let busy = candidate("1", Load { running: 64, ..LOAD });
    let candidates = [cold, busy];
    let mut router = router(100);
    let sends = (0..1_000u64).filter(|draw| {
        matches!(router.decide(need(4_000), &candidates, draw << 8), Decision::Send(_))
    });
    let sends = sends.count();
    assert!((20..=70).contains(&sends), "{sends} of 1000 decisions use a slot, 40 expected");
}

fn check_priority(need: Need, team: u8, expected: u8) {
    assert_eq!(need.priority(team), expected);
}

cases! {
    check_priority {
        /// Guards against long prompts before short ones at the engine.
        long_after_short: (need(200_000), 0, 2),
        /// Guards against medium prompts before short ones.
        medium_after_short: (need(20_000), 0, 1),
        /// Guards against a priority of teams that length overrides.
        team_decides_first: (need(4_000), 1, 3),
        /// Guards against long work that starves behind short work.
        aged_goes_with_short: (aged(200_000), 0, 0),
        /// Guards against an overflow.
        lowest_team: (need(200_000), u8::MAX, u8::MAX),
    }
}

fn check_backlog(waiting: &[Tokens], need: Need, expected: Option<Duration>) {
    let mut backlog = Backlog::default();
    for &tokens in waiting {
        backlog.enter(self::need(tokens).cost);
    }
    let refusal = backlog.check(need, 400_000).err();
    assert_eq!(refusal.map(|refusal| refusal.reason), expected.map(|_| Reason::Overloaded));
    assert_eq!(refusal.and_then(|refusal| refusal.retry_after), expected);
}

cases! {
    check_backlog {
        /// Guards against long work that gets short work refused.
        long_backlog_spares_short: (&[900_000, 900_000], need(4_000), None),
        /// Guards against a late refusal: 2 s of medium work wait before this long deadline's end.
        medium_backlog_refuses_at_once: (
            &[90_000; 25], need(20_000), Some(Duration::from_millis(5_625)),
        ),
        /// Guards against a wait past the patience.
        long_wait_ends: (
            &[],
            Need { waited: Duration::from_secs(2), ..need(4_000) },
            Some(Duration::from_millis(200)),
        ),
        /// Guards against an early refusal of an answer that the caller has a part of.
        broken_stream_waits_for_its_limit: (
            &[],
            Need { waited: Duration::from_secs(2), begun: true, ..need(4_000) },
            None,
        ),
        /// Guards against prompts that fill the memory of the entry.
        memory_is_bounded: (
            &[900_000; 18], need(900_000), Some(Duration::from_millis(40_500)),
        ),
    }
}
