//! Tests of the routing decisions of an entry.

use fulmarhead_lib::{
    admission::PrefillQueue,
    control::Load,
    cost::Cost,
    ids::Tokens,
    outcome::Reason,
    routing::{
        Backlog, Candidate, Decision, PolicyKind, RequestProfile, Router, RouterSettings,
        UnreportedLoad,
    },
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
        load_age: Duration::ZERO,
        inflight: load.running,
        unreported: UnreportedLoad::default(),
        refused: false,
        accepts_long: true,
        cached_tokens: 0,
    }
}

fn profile(prompt: Tokens) -> RequestProfile {
    let cost = Cost { prompt, output: 32 };
    RequestProfile {
        cost,
        waited: Duration::ZERO,
        remaining: Duration::from_secs(30),
        resumed: false,
    }
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

/// Checks the decision for candidates named `0`, `1` and so on. `expected` is the name of the
/// chosen candidate, `wait`, or the reason of a refusal.
fn check_choice(profile: RequestProfile, candidates: Vec<Candidate>, expected: &str) {
    let chosen = match router(2).decide(profile, &candidates, 1) {
        Decision::Send(candidate) => candidate.target.clone(),
        Decision::Wait => "wait".to_owned(),
        Decision::Refuse(refusal) => refusal.reason.to_string(),
    };
    assert_eq!(chosen, expected);
}

fn long_queue(tokens: Tokens) -> Load {
    Load { prefill: tokens, long_prefill: tokens, ..LOAD }
}

fn aged(prompt: Tokens) -> RequestProfile {
    RequestProfile {
        waited: Duration::from_secs(10),
        remaining: Duration::from_secs(20),
        ..profile(prompt)
    }
}

cases! {
    check_choice {
        /// Guards against queueing a short prompt behind a long one.
        short_prompt_avoids_long_prefill: (
            profile(4_000), vec![candidate("0", long_queue(400_000)), candidate("1", LOAD)], "1",
        ),
        /// Guards against sending a second long prompt to an engine.
        long_prompt_waits_for_other_long_prefill: (
            profile(200_000), vec![candidate("0", long_queue(400_000))], "wait",
        ),
        /// Guards against sending long prompts to engines that are not assigned to them.
        long_prompt_needs_assigned_engine: (
            profile(200_000),
            vec![Candidate { accepts_long: false, ..candidate("0", LOAD) }],
            "wait",
        ),
        /// Guards against starving a long prompt.
        aged_prompt_uses_every_engine: (
            aged(200_000),
            vec![Candidate { accepts_long: false, ..candidate("0", LOAD) }],
            "0",
        ),
        /// Guards against an aged prompt that is never sent to an agent, which would serve it next.
        aged_prompt_is_sent_without_capacity: (
            aged(200_000), vec![candidate("0", long_queue(400_000))], "0",
        ),
        /// Guards against choosing a target that has just refused a request of the same class.
        refusing_target_is_excluded: (
            profile(4_000),
            vec![
                Candidate { refused: true, ..candidate("0", LOAD) },
                candidate("1", Load { running: 9, ..LOAD }),
            ],
            "1",
        ),
        /// Guards against a thundering herd on the target with the lowest reported load.
        unreported_load_counts: (
            profile(4_000),
            vec![
                Candidate {
                    unreported: UnreportedLoad {
                        queue: PrefillQueue { short: 90_000, ..PrefillQueue::default() },
                        ..UnreportedLoad::default()
                    },
                    ..candidate("0", LOAD)
                },
                candidate("1", Load { prefill: 20_000, ..LOAD }),
            ],
            "1",
        ),
        /// Guards against counting queued prefill that the engine has processed since the report.
        queue_shrinks_between_reports: (
            profile(4_000),
            vec![
                Candidate {
                    load_age: Duration::from_millis(200),
                    ..candidate("0", Load { prefill: 80_000, ..LOAD })
                },
                candidate("1", Load { prefill: 20_000, ..LOAD }),
            ],
            "0",
        ),
        /// Guards against needless traffic between zones.
        own_zone_is_preferred: (
            profile(4_000),
            vec![Candidate { zone: "b".to_owned(), ..candidate("0", LOAD) }, candidate("1", LOAD)],
            "1",
        ),
        /// Guards against queueing in the own zone while another zone is idle.
        other_zone_is_used_under_load: (
            profile(4_000),
            vec![
                Candidate { zone: "b".to_owned(), ..candidate("0", LOAD) },
                candidate("1", Load { prefill: 40_000, ..LOAD }),
            ],
            "0",
        ),
        /// Guards against repeating prefill whose result a target has in its cache.
        cached_prefix_is_preferred: (
            profile(40_000),
            vec![
                Candidate { cached_tokens: 32_000, ..candidate("0", Load { prefill: 10_000, ..LOAD }) },
                candidate("1", LOAD),
            ],
            "0",
        ),
        /// Guards against overloading one engine with prompts that share a prefix.
        load_outweighs_cached_prefix: (
            profile(40_000),
            vec![
                Candidate { cached_tokens: 32_000, ..candidate("0", Load { prefill: 60_000, ..LOAD }) },
                candidate("1", LOAD),
            ],
            "1",
        ),
        /// Guards against choosing an engine without enough free KV cache for the prompt.
        full_memory_is_avoided: (
            profile(50_000), vec![candidate("0", Load { kv_used: 410_000, ..LOAD })], "wait",
        ),
        /// Guards against choosing a target at its concurrency cap.
        full_target_is_avoided: (
            profile(4_000), vec![candidate("0", Load { running: 64, ..LOAD })], "wait",
        ),
        /// Guards against starting prefill that can't end within the time limit.
        unreachable_deadline_is_refused: (
            RequestProfile { remaining: Duration::from_millis(400), ..profile(200_000) },
            vec![candidate("0", LOAD)],
            "deadline_unreachable",
        ),
        /// Guards against refusing a request before any target is known.
        no_candidate_waits: (profile(4_000), vec![], "wait"),
    }
}

/// Guards against all entries sending to a zone at the same time when its targets return cold: 100
/// entries that see the same 4 free slots send about 4 requests in total.
#[test]
fn entries_share_cold_targets() {
    let cold = candidate("0", Load { cap: 4, ..LOAD });
    let busy = candidate("1", Load { running: 64, ..LOAD });
    let candidates = [cold, busy];
    let mut router = router(100);
    let sends = (0..1_000u64).filter(|draw| {
        matches!(router.decide(profile(4_000), &candidates, draw << 8), Decision::Send(_))
    });
    let sends = sends.count();
    assert!((20..=70).contains(&sends), "{sends} of 1000 decisions use a slot, 40 expected");
}

fn check_priority(profile: RequestProfile, team_priority: u8, expected: u8) {
    assert_eq!(profile.priority(team_priority), expected);
}

cases! {
    check_priority {
        /// Guards against serving long prompts before short ones at the engine.
        long_after_short: (profile(200_000), 0, 2),
        /// Guards against serving medium prompts before short ones.
        medium_after_short: (profile(20_000), 0, 1),
        /// Guards against a length class that overrides the priority of the team.
        team_decides_first: (profile(4_000), 1, 3),
        /// Guards against long prompts that starve behind short ones.
        aged_goes_with_short: (aged(200_000), 0, 0),
        /// Guards against an arithmetic overflow at the lowest team priority.
        lowest_team: (profile(200_000), u8::MAX, u8::MAX),
    }
}

fn check_backlog(
    waiting: &[Tokens],
    profile: RequestProfile,
    expected_retry_after: Option<Duration>,
) {
    let mut backlog = Backlog::default();
    for &tokens in waiting {
        backlog.add(self::profile(tokens).cost);
    }
    let refusal = backlog.check(profile, 400_000).err();
    assert_eq!(
        refusal.map(|refusal| refusal.reason),
        expected_retry_after.map(|_| Reason::Overloaded)
    );
    assert_eq!(refusal.and_then(|refusal| refusal.retry_after), expected_retry_after);
}

cases! {
    check_backlog {
        /// Guards against refusing short prompts because long ones wait.
        long_backlog_does_not_refuse_short: (&[900_000, 900_000], profile(4_000), None),
        /// Guards against a late refusal: the prompts ahead need more time than the maximum wait of
        /// 5 s, although the deadline is 30 s away.
        medium_backlog_refuses_at_once: (
            &[90_000; 25], profile(20_000), Some(Duration::from_millis(5_625)),
        ),
        /// Guards against waiting longer than the maximum wait.
        long_wait_ends: (
            &[],
            RequestProfile { waited: Duration::from_secs(2), ..profile(4_000) },
            Some(Duration::from_millis(200)),
        ),
        /// Guards against an early refusal after the caller has received a part of the answer.
        resumed_request_may_wait_for_whole_time_limit: (
            &[],
            RequestProfile { waited: Duration::from_secs(2), resumed: true, ..profile(4_000) },
            None,
        ),
        /// Guards against waiting prompts that exhaust the memory of the entry.
        memory_is_bounded: (
            &[900_000; 18], profile(900_000), Some(Duration::from_millis(40_500)),
        ),
    }
}
