//! Configuration service that is down or serves a stale revision for a long time.

use crate::{load::BackgroundLoad, support::start_fleet};
use fulmarhead_lib::ids::Revision;
use std::collections::BTreeMap;
use testutils::{
    cases,
    process::{Fleet, Plan, block_on},
};

/// Processes whose revisions are checked.
const PROCESSES: [&str; 5] = ["entry-1", "entry-2", "engine-1", "engine-2", "engine-3"];

/// Number of checks of all processes while a fault lasts.
const CHECKS: usize = 30;

/// Number of requests that have to end while a fault lasts.
const REQUESTS: usize = 100;

/// Fault of the configuration service after the last revision.
#[derive(Clone, Copy)]
enum ServiceFault {
    /// The service is killed.
    Down,
    /// The service is restarted and serves the first revision as the current one.
    Stale,
}

/// Reads the revision of each process repeatedly and checks that it stays `revision`.
async fn check_revision_kept(fleet: &Fleet, names: &[&str], revision: Revision) {
    let expected: BTreeMap<&str, Revision> = names.iter().map(|&name| (name, revision)).collect();
    for _ in 0..CHECKS {
        let mut observed = BTreeMap::new();
        for &name in names {
            observed.insert(name, fleet.revision_at(name).await);
        }
        assert_eq!(observed, expected);
    }
}

/// Publishes two revisions, makes the service fail, and restarts an entry and an agent, which have
/// to get the last revision from their peers.
fn check_service_fault(fault: ServiceFault) {
    block_on(async {
        let mut fleet = start_fleet(Plan { workers: 0, ..Plan::default() }).await;
        let first = fleet.document(0).clone();
        fleet.publish(|_| {}).await.unwrap();
        let last = fleet.publish(|_| {}).await.unwrap();
        fleet.wait_serving().await.unwrap();
        let load = BackgroundLoad::start(&fleet, &[1], 3);
        match fault {
            ServiceFault::Down => fleet.service(0).kill().await.unwrap(),
            ServiceFault::Stale => {
                fleet.service(0).restart().await.unwrap();
                fleet.write(0, &first).await.unwrap();
            }
        }
        check_revision_kept(&fleet, &PROCESSES, last).await;
        fleet.process("entry-2").restart().await.unwrap();
        fleet.agent("engine-3").restart().await.unwrap();
        fleet.wait_revision(&PROCESSES, last).await.unwrap();
        check_revision_kept(&fleet, &PROCESSES, last).await;
        fleet.wait_serving().await.unwrap();
        let restarted_load = BackgroundLoad::start(&fleet, &[2], 3);
        restarted_load.wait_for(REQUESTS).await;
        restarted_load.finish().await.check();
        load.finish().await.check();
        // New revisions reach the processes again once the service is back.
        fleet.restart_service(0).await.unwrap();
        let next = fleet.publish(|_| {}).await.unwrap();
        fleet.wait_revision(&PROCESSES, next).await.unwrap();
    });
}

/// Guards against adopting a second document with the same revision, here one that takes all zones
/// out of service.
#[test]
fn second_content_under_one_revision_is_not_adopted() {
    block_on(async {
        let mut fleet = start_fleet(Plan { workers: 0, engines: 1, ..Plan::default() }).await;
        let mut other = fleet.document(0).clone();
        other.zones.iter_mut().for_each(|zone| zone.in_service = false);
        fleet.write(0, &other).await.unwrap();
        fleet.process("entry-2").restart().await.unwrap();
        fleet.wait_revision(&["entry-2"], other.revision).await.unwrap();
        let load = BackgroundLoad::start(&fleet, &[1], 3);
        load.wait_for(REQUESTS).await;
        load.finish().await.check();
        fleet.publish(|_| {}).await.unwrap();
        fleet.wait_serving().await.unwrap();
    });
}

cases! {
    check_service_fault {
        /// Guards against processes that lose their configuration, or can't be restarted, while the
        /// service is down.
        service_down: (ServiceFault::Down),
        /// Guards against a return to an earlier revision when the service offers one.
        service_stale: (ServiceFault::Stale),
    }
}
