//! Zones and targets that are taken out of service and back into service under load.

use crate::{
    load::BackgroundLoad,
    support::{
        CONDITION_TIMEOUT, ORDERS_PATH, admitted_count, event_contents, event_target,
        expected_events, key_owner, prompt, start_fleet, wait_admitted,
    },
};
use fulmarhead_lib::config;
use hyper::Method;
use std::time::Duration;
use testutils::{
    cases,
    process::{EventStream, Fleet, ObservedTarget, Plan, Signal, block_on, eventually},
};

/// Time within which each entry has to see the change; from then on, no new work may go to what is
/// out of service.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(4);

/// Number of callers of each entry.
const CALLERS: u64 = 3;

/// Number of requests after the change, enough for each target to get some if it accepted any.
const REQUESTS: usize = 100;

/// Number of tokens of the streams that are open during the change.
const STREAM_TOKENS: u64 = 400;

/// Scope that is taken out of service.
#[derive(Clone, Copy)]
enum Scope {
    Zone,
    Target,
}

/// State of the configuration service during the change.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ServiceState {
    Running,
    /// The service is killed as soon as one entry has the revision.
    Killed,
}

/// Takes engine 2 or its zone out of service, or back into service.
fn change_service(scope: Scope, is_out: bool) -> impl Fn(&mut config::Fleet) {
    move |fleet| match scope {
        Scope::Zone => fleet.zones[1].in_service = !is_out,
        Scope::Target => fleet.targets[1].departing = is_out,
    }
}

/// Opens long streams until `target` generates one of them.
async fn open_streams(fleet: &Fleet, target: &str) -> Vec<(String, EventStream, u64)> {
    let mut open = Vec::new();
    for seed in 900.. {
        let prompt = prompt(seed, 50);
        let mut stream = fleet.caller(1).stream(&prompt, STREAM_TOKENS).await.unwrap();
        let first = stream.read_events(1).await.unwrap();
        let found = event_target(&first[0]) == target;
        open.push((prompt, stream, first[0].position + 1));
        if found {
            break;
        }
    }
    open
}

async fn wait_out_of_service(fleet: &Fleet, entry: &str, target: &str) {
    let is_out =
        |observed: &ObservedTarget| observed.target == target && observed.phase == "out_of_service";
    let observed =
        eventually("the entry sees the target out of service", CHANGE_TIMEOUT, async || {
            fleet.observed_targets(entry).await.iter().any(is_out).then_some(())
        });
    observed.await.unwrap();
}

/// Takes engine 2 out of service under load with streams open, and then back into service.
fn check_out_and_back(scope: Scope, service: ServiceState) {
    block_on(async {
        let mut fleet = start_fleet(Plan { workers: 0, ..Plan::default() }).await;
        let load = BackgroundLoad::start(&fleet, &[1, 2], CALLERS);
        let streams = open_streams(&fleet, "engine-2").await;
        let revision = fleet.publish(change_service(scope, true)).await.unwrap();
        if service == ServiceState::Killed {
            fleet.wait_revision(&["entry-1"], revision).await.unwrap();
            fleet.service(0).kill().await.unwrap();
        }
        wait_out_of_service(&fleet, "entry-1", "engine-2").await;
        wait_out_of_service(&fleet, "entry-2", "engine-2").await;
        for (prompt, mut stream, position) in streams {
            let rest = stream.read_to_end().await.unwrap();
            assert_eq!(event_contents(&rest), expected_events(&prompt, STREAM_TOKENS, position));
        }
        let before = wait_admitted(&mut fleet, "engine-2").await;
        load.finish().await.check();
        let load = BackgroundLoad::start(&fleet, &[1, 2], CALLERS);
        load.wait_for(REQUESTS).await;
        let after = wait_admitted(&mut fleet, "engine-2").await;
        assert_eq!(after, before);
        if service == ServiceState::Killed {
            fleet.restart_service(0).await.unwrap();
        }
        fleet.publish(change_service(scope, false)).await.unwrap();
        fleet.wait_serving().await.unwrap();
        let new_work = eventually("the target gets new work", CONDITION_TIMEOUT, async || {
            (admitted_count(&mut fleet, "engine-2") > before).then_some(())
        });
        new_work.await.unwrap();
        load.finish().await.check();
    });
}

/// Guards against an entry that sends new work to a zone which was taken out of service while the
/// entry was paused.
#[test]
fn resumed_entry_gives_no_work_to_a_zone_out_of_service() {
    block_on(async {
        let mut fleet = start_fleet(Plan { workers: 0, ..Plan::default() }).await;
        fleet.process("entry-1").signal(Signal::STOP).unwrap();
        let revision = fleet.publish(change_service(Scope::Zone, true)).await.unwrap();
        fleet
            .wait_revision(&["entry-2", "engine-1", "engine-2", "engine-3"], revision)
            .await
            .unwrap();
        let load = BackgroundLoad::start(&fleet, &[1], CALLERS);
        fleet.process("entry-1").signal(Signal::CONT).unwrap();
        load.wait_for(REQUESTS).await;
        load.finish().await.check();
        assert_eq!(wait_admitted(&mut fleet, "engine-2").await, 0);
    });
}

/// Guards against an order that was refused as not run, but takes effect when its zone is back in
/// service.
#[test]
fn order_refused_by_a_zone_never_runs() {
    block_on(async {
        let mut fleet = start_fleet(Plan { engines: 0, workers: 3, ..Plan::default() }).await;
        let key = fleet.caller(1).issue_key("yard-desk").await.unwrap();
        let index = fleet.document(0).targets.iter().position(|t| t.id == key_owner(&key)).unwrap();
        fleet.publish(|fleet| fleet.zones[index].in_service = false).await.unwrap();
        wait_out_of_service(&fleet, "entry-1", key_owner(&key)).await;
        let status_and_outcome = async |fleet: &Fleet, entry| {
            let caller = fleet.caller(entry).with_header("idempotency-key", &key);
            caller.call(Method::POST, ORDERS_PATH, "12 beams").await.unwrap().status_and_outcome()
        };
        let not_run = (503, "not_run".to_owned());
        assert_eq!(status_and_outcome(&fleet, 1).await, not_run);
        fleet.publish(|fleet| fleet.zones[index].in_service = true).await.unwrap();
        fleet.wait_serving().await.unwrap();
        assert_eq!(status_and_outcome(&fleet, 2).await, not_run);
        assert_eq!(fleet.effects().await, []);
    });
}

cases! {
    check_out_and_back {
        /// Guards against new work for a zone that is out of service, and against interrupting the
        /// work that it has.
        zone_out_and_back: (Scope::Zone, ServiceState::Running),
        /// Guards against a revision that stays at one entry because the service is killed before
        /// the others have it.
        zone_out_and_service_killed: (Scope::Zone, ServiceState::Killed),
        /// Guards against new work for a departing target, and against interrupting the work that
        /// it has.
        departing_target: (Scope::Target, ServiceState::Running),
    }
}
