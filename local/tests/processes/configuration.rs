//! A configuration service that is down or stale for long.

use crate::{load::Load, support::start};
use fulmarhead_lib::ids::Revision;
use std::collections::BTreeMap;
use testutils::{
    cases,
    process::{Fleet, Plan, block_on},
};

/// Processes that are watched.
const NAMES: [&str; 5] = ["entry-1", "entry-2", "engine-1", "engine-2", "engine-3"];

/// Looks at all processes while a fault lasts.
const LOOKS: usize = 30;

/// Requests while a fault lasts.
const REQUESTS: usize = 100;

/// What the configuration service does after the last revision.
#[derive(Clone, Copy)]
enum Service {
    /// It does not answer.
    Down,
    /// It serves the first revision as the current one.
    Stale,
}

/// Looks at the revision of each process again and again; each must stay at `revision`.
async fn check_kept(fleet: &Fleet, names: &[&str], revision: Revision) {
    let expected: BTreeMap<&str, Revision> = names.iter().map(|&name| (name, revision)).collect();
    for _ in 0..LOOKS {
        let mut seen = BTreeMap::new();
        for &name in names {
            seen.insert(name, fleet.revision_at(name).await);
        }
        assert_eq!(seen, expected);
    }
}

/// Publishes two revisions, breaks the service, and starts an entry and an agent anew.
fn check_service(service: Service) {
    block_on(async {
        let mut fleet = start(Plan { workers: 0, ..Plan::default() }).await;
        let old = fleet.document(0).clone();
        fleet.publish(|_| {}).await.unwrap();
        let last = fleet.publish(|_| {}).await.unwrap();
        fleet.wait_serving().await.unwrap();
        let load = Load::start(&fleet, &[1], 3);
        match service {
            Service::Down => fleet.service(0).kill().await.unwrap(),
            Service::Stale => {
                fleet.service(0).restart().await.unwrap();
                fleet.write(0, &old).await.unwrap();
            }
        }
        check_kept(&fleet, &NAMES, last).await;
        fleet.process("entry-2").restart().await.unwrap();
        fleet.agent("engine-3").restart().await.unwrap();
        fleet.wait_revision(&NAMES, last).await.unwrap();
        check_kept(&fleet, &NAMES, last).await;
        fleet.wait_serving().await.unwrap();
        let new = Load::start(&fleet, &[2], 3);
        new.wait_for(REQUESTS).await;
        new.finish().await.check();
        load.finish().await.check();
        // The revisions go on once the service is back.
        fleet.restart_service(0).await.unwrap();
        let next = fleet.publish(|_| {}).await.unwrap();
        fleet.wait_revision(&NAMES, next).await.unwrap();
    });
}

/// Guards against a second document under one revision that replaces the first one.
#[test]
fn second_content_under_one_revision_is_not_adopted() {
    block_on(async {
        let mut fleet = start(Plan { workers: 0, engines: 1, ..Plan::default() }).await;
        let mut other = fleet.document(0).clone();
        other.zones.iter_mut().for_each(|zone| zone.in_service = false);
        fleet.write(0, &other).await.unwrap();
        fleet.process("entry-2").restart().await.unwrap();
        fleet.wait_revision(&["entry-2"], other.revision).await.unwrap();
        let load = Load::start(&fleet, &[1], 3);
        load.wait_for(REQUESTS).await;
        load.finish().await.check();
        fleet.publish(|_| {}).await.unwrap();
        fleet.wait_serving().await.unwrap();
    });
}

cases! {
    check_service {
        /// Guards against processes that can't start, or lose their configuration, without the
        /// service.
        service_down: (Service::Down),
        /// Guards against a revision that goes down when the service offers an old one.
        service_stale: (Service::Stale),
    }
}
