//! Values of the configuration service, and how faults change the view of readers.

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

/// Maximum size of a value, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// Rate limit of the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfigSettings {
    /// Calls per second of all readers together; each waiting watch counts as one call per second.
    pub calls_per_second: u32,
}

impl Default for ConfigSettings {
    fn default() -> Self {
        Self { calls_per_second: 2_000 }
    }
}

/// Key-value store of the service, with injected faults.
pub struct ConfigStore {
    settings: ConfigSettings,
    clock: SharedClock,
    inner: Mutex<Inner>,
    changes: watch::Sender<u64>,
}

#[derive(Debug)]
struct Inner {
    values: BTreeMap<String, Bytes>,
    /// All written values that contain a revision, by key and revision.
    revisions: BTreeMap<(String, Revision), Bytes>,
    faults: ServiceFaults,
    limit: RateLimit,
}

#[derive(Debug, Deserialize)]
struct RevisionField {
    revision: Revision,
}

impl Default for ConfigStore {
    fn default() -> Self {
        Self::new(ConfigSettings::default(), SystemClock::shared())
    }
}

impl ConfigStore {
    /// Returns a store without values and faults.
    pub fn new(settings: ConfigSettings, clock: SharedClock) -> Self {
        let rate = f64::from(settings.calls_per_second);
        let inner = Inner {
            values: BTreeMap::new(),
            revisions: BTreeMap::new(),
            faults: ServiceFaults::default(),
            limit: RateLimit::new(rate, rate, clock.now()),
        };
        Self { settings, clock, inner: Mutex::new(inner), changes: watch::channel(0).0 }
    }

    /// Writes a value and wakes the waiting watches.
    pub fn put(&self, key: &str, value: Bytes) {
        let mut inner = self.lock();
        if let Some(revision) = revision(&value) {
            inner.revisions.insert((key.to_owned(), revision), value.clone());
        }
        inner.values.insert(key.to_owned(), value);
        drop(inner);
        self.notify();
    }

    /// Returns a value as readers see it: an injected fault may hide later revisions.
    pub fn get(&self, key: &str) -> Option<Bytes> {
        let inner = self.lock();
        let value = inner.values.get(key)?;
        let (Some(stale_at), Some(_)) = (inner.faults.stale_at, revision(value)) else {
            return Some(value.clone());
        };
        let visible = inner.revisions.range((key.to_owned(), 0)..=(key.to_owned(), stale_at));
        visible.last().map(|(_, value)| value.clone())
    }

    /// Publishes a document under `revision`.
    ///
    /// The head is written after all parts, so that readers never see a head without its parts.
    pub fn publish(&self, revision: Revision, document: &str) {
        let mut parts = Vec::new();
        for (index, chunk) in document.as_bytes().chunks(MAX_VALUE_BYTES).enumerate() {
            let key = format!("fleet/{revision}/{index}");
            parts.push(DocumentPart { key: key.clone(), sha256: sha256_hex(chunk) });
            self.put(&key, Bytes::copy_from_slice(chunk));
        }
        let head = DocumentHead { revision, parts };
        let value = serde_json::to_vec(&head).expect("a document head serializes to JSON");
        self.put("fleet/head", value.into());
    }

    /// Publishes a document under the revision that it contains, and returns that revision.
    ///
    /// Fails if the document is not JSON or has no revision.
    pub fn publish_document(&self, document: &str) -> Result<Revision, serde_json::Error> {
        let field: RevisionField = serde_json::from_str(document)?;
        self.publish(field.revision, document);
        Ok(field.revision)
    }

    /// Ends all waiting watches and refuses later calls, as the fault [`ServiceFaults::down`] does.
    pub fn close(&self) {
        self.set_faults(ServiceFaults { down: true, ..self.faults() });
    }

    /// Replaces the active faults; a changed rate limit starts with a full burst.
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

    /// Returns the active faults.
    pub fn faults(&self) -> ServiceFaults {
        self.lock().faults
    }

    /// Returns the number of waiting watches.
    pub fn waiting_watches(&self) -> usize {
        self.changes.receiver_count()
    }

    /// Counts a call or one interval of a waiting watch; at the rate limit, returns the retry
    /// delay as the error.
    pub(super) fn count_call(&self) -> Result<(), Duration> {
        let now = self.clock.now();
        self.lock().limit.try_take(now)
    }

    /// Returns a receiver that is notified of each later change.
    pub(super) fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Returns the value of `key` if its revision is above `after`.
    pub(super) fn get_newer(&self, key: &str, after: Revision) -> Option<Bytes> {
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

/// Returns the revision of a JSON value that has one.
fn revision(value: &[u8]) -> Option<Revision> {
    let field: RevisionField = serde_json::from_slice(value).ok()?;
    Some(field.revision)
}

impl Debug for ConfigStore {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_struct("ConfigStore").field("inner", &self.inner).finish_non_exhaustive()
    }
}
