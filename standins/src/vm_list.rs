//! The list of live and leaving VMs, which lags.

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

/// State of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum VmState {
    /// The VM runs.
    Live,
    /// The platform is about to take the VM away.
    Leaving,
}

/// A VM of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Address of the VM.
    pub address: SocketAddr,
    /// Zone of the VM.
    pub zone: ZoneId,
    /// Whether it runs or leaves.
    pub state: VmState,
}

/// Answer to `GET /v1/vms`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmSnapshot {
    /// When the list had this content, in milliseconds since the Unix epoch.
    pub as_of_ms: u64,
    /// The VMs.
    pub vms: Vec<Vm>,
}

#[derive(Debug)]
struct Version {
    at: Instant,
    wall: SystemTime,
    vms: Vec<Vm>,
}

/// The list of VMs; it shows each change after a lag.
pub struct VmList {
    lag: Duration,
    clock: SharedClock,
    versions: Mutex<VecDeque<Version>>,
}

impl VmList {
    /// Returns an empty list that lags by `lag`.
    pub fn new(lag: Duration, clock: SharedClock) -> Arc<Self> {
        let first = Version { at: clock.now(), wall: clock.wall(), vms: Vec::new() };
        Arc::new(Self { lag, clock, versions: Mutex::new(VecDeque::from([first])) })
    }

    /// Replaces the VMs.
    pub fn set(&self, vms: Vec<Vm>) {
        let version = Version { at: self.clock.now(), wall: self.clock.wall(), vms };
        self.lock().push_back(version);
    }

    /// Returns what the list shows now.
    pub fn snapshot(&self) -> VmSnapshot {
        let now = self.clock.now();
        let mut versions = self.lock();
        while versions.get(1).is_some_and(|next| next.at + self.lag <= now) {
            versions.pop_front();
        }
        let shown = &versions[0];
        let since = shown.wall.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        VmSnapshot { as_of_ms: since.as_millis() as u64, vms: shown.vms.clone() }
    }

    /// Returns the routes of the list; `PUT /debug/vms` is for tests.
    pub fn router(self: &Arc<Self>) -> Router {
        Router::new()
            .route("/v1/vms", get(read))
            .route("/debug/vms", put(replace))
            .with_state(Arc::clone(self))
    }

    fn lock(&self) -> MutexGuard<'_, VecDeque<Version>> {
        self.versions.lock().expect("no holder of the lock panics")
    }
}

async fn read(State(list): State<Arc<VmList>>) -> Json<VmSnapshot> {
    Json(list.snapshot())
}

async fn replace(State(list): State<Arc<VmList>>, Json(vms): Json<Vec<Vm>>) -> StatusCode {
    list.set(vms);
    StatusCode::NO_CONTENT
}
