//! The values of the configuration service.

use super::faults::ServiceFaults;
use crate::rate::RateLimit;
use bytes::Bytes;
use fulmarhead_lib::{clock::SharedClock, digest::sha256_hex, ids::Revision};
use fulmarhead_runtime::{
    clock::SystemClock,
    platform::{DocumentHead, DocumentPart},
};
use serde::Deserialize;
use std::{
    collections::BTreeMap,
    fmt::{self, Debug, Formatter},
    sync::{Mutex, MutexGuard},
    time::Duration,
};
use tokio::sync::watch;

/// Largest value, in bytes.
pub const MAX_VALUE: usize = 1 << 20;

/// Limits of the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfigSettings {
    /// Calls a second of all readers together; each waiting watch counts as one call a second.
    pub calls_per_second: u32,
}

impl Default for ConfigSettings {
    fn default() -> Self {
        Self { calls_per_second: 2_000 }
    }
}

/// The values of the service.
pub struct ConfigStore {
    settings: ConfigSettings,
    clock: SharedClock,
    inner: Mutex<Inner>,
    changes: watch::Sender<u64>,
}

#[derive(Debug)]
struct Inner {
    values: BTreeMap<String, Bytes>,
    /// All values that had a revision.
    revised: BTreeMap<(String, Revision), Bytes>,
    faults: ServiceFaults,
    limit: RateLimit,
}

#[derive(Debug, Deserialize)]
struct Revised {
    revision: Revision,
}

impl Default for ConfigStore {
    fn default() -> Self {
        Self::new(ConfigSettings::default(), SystemClock::shared())
    }
}

impl ConfigStore {
    /// Returns a service without values.
    pub fn new(settings: ConfigSettings, clock: SharedClock) -> Self {
        let rate = f64::from(settings.calls_per_second);
        let inner = Inner {
            values: BTreeMap::new(),
            revised: BTreeMap::new(),
            faults: ServiceFaults::default(),
            limit: RateLimit::new(rate, rate, clock.now()),
        };
        Self { settings, clock, inner: Mutex::new(inner), changes: watch::channel(0).0 }
    }

    /// Writes a value.
    pub fn put(&self, key: &str, value: Bytes) {
        let mut inner = self.lock();
        if let Some(revision) = revision(&value) {
            inner.revised.insert((key.to_owned(), revision), value.clone());
        }
        inner.values.insert(key.to_owned(), value);
        drop(inner);
        self.notify();
    }

    /// Returns a value as readers see it.
    pub fn get(&self, key: &str) -> Option<Bytes> {
        let inner = self.lock();
        let value = inner.values.get(key)?;
        let (Some(stale_at), Some(_)) = (inner.faults.stale_at, revision(value)) else {
            return Some(value.clone());
        };
        let old = inner.revised.range((key.to_owned(), 0)..=(key.to_owned(), stale_at));
        old.last().map(|(_, value)| value.clone())
    }

    /// Writes a document under `revision`: its parts first, then the head.
    pub fn publish(&self, revision: Revision, document: &str) {
        let mut parts = Vec::new();
        for (index, chunk) in document.as_bytes().chunks(MAX_VALUE).enumerate() {
            let key = format!("fleet/{revision}/{index}");
            parts.push(DocumentPart { key: key.clone(), sha256: sha256_hex(chunk) });
            self.put(&key, Bytes::copy_from_slice(chunk));
        }
        let head = DocumentHead { revision, parts };
        let value = serde_json::to_vec(&head).expect("a head has no keys that JSON can't hold");
        self.put("fleet/head", value.into());
    }

    /// Publishes a document under the revision that it names, and returns that revision.
    pub fn publish_document(&self, document: &str) -> Result<Revision, serde_json::Error> {
        let revised: Revised = serde_json::from_str(document)?;
        self.publish(revised.revision, document);
        Ok(revised.revision)
    }

    /// Ends all waiting watches and refuses calls from now on.
    pub fn close(&self) {
        self.set_faults(ServiceFaults { down: true, ..self.faults() });
    }

    /// Sets the faults in place of those in force.
    pub fn set_faults(&self, faults: ServiceFaults) {
        let mut inner = self.lock();
        if faults.calls_per_second != inner.faults.calls_per_second {
            let rate = faults.calls_per_second.unwrap_or(self.settings.calls_per_second);
            inner.limit = RateLimit::new(rate.into(), rate.into(), self.clock.now());
        }
        inner.faults = faults;
        drop(inner);
        self.notify();
    }

    /// Returns the faults in force.
    pub fn faults(&self) -> ServiceFaults {
        self.lock().faults
    }

    /// Returns how many watches wait.
    pub fn watches(&self) -> usize {
        self.changes.receiver_count()
    }

    /// Counts a call, or a second of a waiting watch; at the limit it returns how long to wait.
    pub(super) fn count_call(&self) -> Result<(), Duration> {
        let now = self.clock.now();
        self.lock().limit.take(now)
    }

    /// Returns a receiver that sees each later change.
    pub(super) fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Returns a value whose revision is above `after`.
    pub(super) fn newer(&self, key: &str, after: Revision) -> Option<Bytes> {
        let value = self.get(key)?;
        (revision(&value)? > after).then_some(value)
    }

    fn notify(&self) {
        self.changes.send_modify(|changes| *changes += 1);
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no holder of the lock panics")
    }
}

/// Returns the revision of a value that has one.
fn revision(value: &[u8]) -> Option<Revision> {
    let revised: Revised = serde_json::from_slice(value).ok()?;
    Some(revised.revision)
}

impl Debug for ConfigStore {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_struct("ConfigStore").field("inner", &self.inner).finish_non_exhaustive()
    }
}
