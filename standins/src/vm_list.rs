//! Stand-in for the list of live and leaving VMs, which shows changes with a lag.

use axum::{
    Json, Router,
    extract::State,
    http::StatusCode,
    routing::{get, put},
};
use fulmarhead_lib::{clock::SharedClock, ids::ZoneId};
use serde::{Deserialize, Serialize};
use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant, SystemTime},
};
use strum::{Display, EnumString};

/// Whether a VM stays or is about to be removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum VmState {
    /// The VM runs and is not scheduled for removal.
    Live,
    /// The platform is about to remove the VM.
    Leaving,
}

/// Entry of the VM list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Address of the VM.
    pub address: SocketAddr,
    /// Availability zone of the VM.
    pub zone: ZoneId,
    /// Whether the VM is live or leaving.
    pub state: VmState,
}

/// Response to `GET /v1/vms`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmSnapshot {
    /// Time at which the list got this content, in milliseconds since the Unix epoch.
    pub as_of_ms: u64,
    /// VMs in the order in which they were set.
    pub vms: Vec<Vm>,
}

#[derive(Debug)]
struct ListVersion {
    changed_at: Instant,
    wall_time: SystemTime,
    vms: Vec<Vm>,
}

/// List of VMs that shows each change after a fixed lag.
pub struct VmList {
    lag: Duration,
    clock: SharedClock,
    versions: Mutex<VecDeque<ListVersion>>,
}

impl VmList {
    /// Returns an empty list that shows each change after `lag`.
    pub fn new(lag: Duration, clock: SharedClock) -> Arc<Self> {
        let first =
            ListVersion { changed_at: clock.now(), wall_time: clock.wall(), vms: Vec::new() };
        Arc::new(Self { lag, clock, versions: Mutex::new(VecDeque::from([first])) })
    }

    /// Replaces the whole list; readers see it after the lag.
    pub fn set(&self, vms: Vec<Vm>) {
        let version =
            ListVersion { changed_at: self.clock.now(), wall_time: self.clock.wall(), vms };
        self.lock().push_back(version);
    }

    /// Returns the list as readers see it now.
    pub fn snapshot(&self) -> VmSnapshot {
        let now = self.clock.now();
        let mut versions = self.lock();
        while versions.get(1).is_some_and(|next| next.changed_at + self.lag <= now) {
            versions.pop_front();
        }
        let shown = &versions[0];
        let since_epoch =
            shown.wall_time.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        VmSnapshot { as_of_ms: since_epoch.as_millis() as u64, vms: shown.vms.clone() }
    }

    /// Returns the HTTP routes of the list; `PUT /debug/vms` lets tests replace it.
    pub fn router(self: &Arc<Self>) -> Router {
        Router::new()
            .route("/v1/vms", get(get_vms))
            .route("/debug/vms", put(put_vms))
            .with_state(Arc::clone(self))
    }

    fn lock(&self) -> MutexGuard<'_, VecDeque<ListVersion>> {
        self.versions.lock().expect("no holder of the lock panics")
    }
}

async fn get_vms(State(list): State<Arc<VmList>>) -> Json<VmSnapshot> {
    Json(list.snapshot())
}

async fn put_vms(State(list): State<Arc<VmList>>, Json(vms): Json<Vec<Vm>>) -> StatusCode {
    list.set(vms);
    StatusCode::NO_CONTENT
}
