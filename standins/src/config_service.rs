//! The configuration service: values that operators write and everybody reads and watches.

use axum::{
    Router,
    body::Bytes,
    extract::{Path, Query, State},
    http::StatusCode,
    response::{IntoResponse, Response},
    routing::get,
};
use fulmarhead_lib::{digest::sha256_hex, ids::Revision};
use fulmarhead_runtime::platform::{Head, Part};
use serde::Deserialize;
use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::Duration,
};
use tokio::{sync::watch, time::timeout};

/// Largest value, in bytes.
pub const MAX_VALUE: usize = 1 << 20;

/// The values of the service.
#[derive(Debug)]
pub struct ConfigStore {
    values: Mutex<BTreeMap<String, Bytes>>,
    changes: watch::Sender<u64>,
}

impl Default for ConfigStore {
    fn default() -> Self {
        Self { values: Mutex::default(), changes: watch::channel(0).0 }
    }
}

#[derive(Debug, Deserialize)]
struct Watch {
    after: Revision,
    wait_ms: u64,
}

#[derive(Debug, Deserialize)]
struct Revised {
    revision: Revision,
}

impl ConfigStore {
    /// Writes a value.
    pub fn put(&self, key: &str, value: Bytes) {
        self.lock().insert(key.to_owned(), value);
        self.changes.send_modify(|changes| *changes += 1);
    }

    /// Returns a value.
    pub fn get(&self, key: &str) -> Option<Bytes> {
        self.lock().get(key).cloned()
    }

    /// Writes a document under `revision`: its parts first, then the head.
    pub fn publish(&self, revision: Revision, document: &str) {
        let mut parts = Vec::new();
        for (index, chunk) in document.as_bytes().chunks(MAX_VALUE).enumerate() {
            let key = format!("fleet/{revision}/{index}");
            parts.push(Part { key: key.clone(), sha256: sha256_hex(chunk) });
            self.put(&key, Bytes::copy_from_slice(chunk));
        }
        let head = Head { revision, parts };
        let value = serde_json::to_vec(&head).expect("a head has no keys that JSON can't hold");
        self.put("fleet/head", value.into());
    }

    /// Returns the routes of the service.
    pub fn router(self: &Arc<Self>) -> Router {
        Router::new()
            .route("/v1/values/{*key}", get(read).put(write))
            .route("/v1/watch/{*key}", get(wait))
            .with_state(Arc::clone(self))
    }

    fn newer(&self, key: &str, after: Revision) -> Option<Bytes> {
        let value = self.get(key)?;
        let revised: Revised = serde_json::from_slice(&value).ok()?;
        (revised.revision > after).then_some(value)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<String, Bytes>> {
        self.values.lock().expect("no holder of the lock panics")
    }
}

async fn read(State(store): State<Arc<ConfigStore>>, Path(key): Path<String>) -> Response {
    store.get(&key).map_or(StatusCode::NOT_FOUND.into_response(), IntoResponse::into_response)
}

async fn write(
    State(store): State<Arc<ConfigStore>>,
    Path(key): Path<String>,
    value: Bytes,
) -> StatusCode {
    if value.len() > MAX_VALUE {
        return StatusCode::PAYLOAD_TOO_LARGE;
    }
    store.put(&key, value);
    StatusCode::NO_CONTENT
}

async fn wait(
    State(store): State<Arc<ConfigStore>>,
    Path(key): Path<String>,
    Query(watch): Query<Watch>,
) -> Response {
    let mut changes = store.changes.subscribe();
    let found = async {
        loop {
            if let Some(value) = store.newer(&key, watch.after) {
                return value;
            }
            if changes.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    };
    match timeout(Duration::from_millis(watch.wait_ms), found).await {
        Ok(value) => value.into_response(),
        Err(_) => StatusCode::NOT_MODIFIED.into_response(),
    }
}
