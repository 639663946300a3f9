//! HTTP interface of the configuration service.

use super::{
    faults::ServiceFaults,
    store::{ConfigStore, MAX_VALUE},
};
use crate::rate::retry_after;
use axum::{
    Json, Router,
    body::Bytes,
    extract::{DefaultBodyLimit, Path, Query, State},
    http::{StatusCode, header::RETRY_AFTER},
    response::{IntoResponse, Response},
    routing::{get, post},
};
use fulmarhead_lib::ids::Revision;
use serde::Deserialize;
use serde_json::{Value, json};
use std::{sync::Arc, time::Duration};
use tokio::time::{interval, sleep};

/// Time after which a waiting watch counts as one more call.
const WATCH_COUNTS: Duration = Duration::from_secs(1);

/// Longest body that is read; a document may have several values.
const MAX_BODY: usize = 16 * MAX_VALUE;

#[derive(Debug, Deserialize)]
struct Watch {
    after: Revision,
    wait_ms: u64,
}

/// Why a reader gets no value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
enum ServiceError {
    #[error("service is down")]
    Down,
    #[error("too many calls")]
    Limit(Duration),
    #[error("no such value")]
    Unknown,
    #[error("value is too large")]
    TooLarge,
}

impl IntoResponse for ServiceError {
    fn into_response(self) -> Response {
        let text = self.to_string();
        match self {
            Self::Down => (StatusCode::SERVICE_UNAVAILABLE, text).into_response(),
            Self::Unknown => (StatusCode::NOT_FOUND, text).into_response(),
            Self::TooLarge => (StatusCode::PAYLOAD_TOO_LARGE, text).into_response(),
            Self::Limit(wait) => {
                let headers = [(RETRY_AFTER, retry_after(wait))];
                (StatusCode::TOO_MANY_REQUESTS, headers, text).into_response()
            }
        }
    }
}

impl ConfigStore {
    /// Returns the routes of the service; those under `/debug` are for tests.
    pub fn router(self: &Arc<Self>) -> Router {
        Router::new()
            .route("/v1/values/{*key}", get(read).put(write))
            .route("/v1/watch/{*key}", get(wait))
            .route("/debug/faults", post(set_faults))
            .route("/debug/publish", post(publish))
            .route("/debug/state", get(state))
            .layer(DefaultBodyLimit::max(MAX_BODY))
            .with_state(Arc::clone(self))
    }

    /// Takes a reader's call, unless a fault or the limit refuses it.
    async fn enter(&self) -> Result<(), ServiceError> {
        self.count_call().map_err(ServiceError::Limit)?;
        let slow = self.faults().slow_ms;
        if slow > 0 {
            sleep(Duration::from_millis(slow)).await;
        }
        self.check_up()
    }

    fn check_up(&self) -> Result<(), ServiceError> {
        if self.faults().down { Err(ServiceError::Down) } else { Ok(()) }
    }
}

async fn read(
    State(store): State<Arc<ConfigStore>>,
    Path(key): Path<String>,
) -> Result<Bytes, ServiceError> {
    store.enter().await?;
    store.get(&key).ok_or(ServiceError::Unknown)
}

async fn write(
    State(store): State<Arc<ConfigStore>>,
    Path(key): Path<String>,
    value: Bytes,
) -> Result<StatusCode, ServiceError> {
    if value.len() > MAX_VALUE {
        return Err(ServiceError::TooLarge);
    }
    store.put(&key, value);
    Ok(StatusCode::NO_CONTENT)
}

async fn wait(
    State(store): State<Arc<ConfigStore>>,
    Path(key): Path<String>,
    Query(watch): Query<Watch>,
) -> Result<Response, ServiceError> {
    store.enter().await?;
    let wait = sleep(Duration::from_millis(watch.wait_ms));
    tokio::select! {
        value = find(&store, &key, watch.after) => Ok(value?.into_response()),
        () = wait => Ok(StatusCode::NOT_MODIFIED.into_response()),
    }
}

/// Waits for a value whose revision is above `after`.
async fn find(store: &ConfigStore, key: &str, after: Revision) -> Result<Bytes, ServiceError> {
    let mut changes = store.changes();
    let mut counts = interval(WATCH_COUNTS);
    counts.reset();
    loop {
        store.check_up()?;
        if let Some(value) = store.newer(key, after) {
            return Ok(value);
        }
        tokio::select! {
            _ = changes.changed() => {}
            _ = counts.tick() => store.count_call().map_err(ServiceError::Limit)?,
        }
    }
}

async fn set_faults(
    State(store): State<Arc<ConfigStore>>,
    Json(faults): Json<ServiceFaults>,
) -> StatusCode {
    store.set_faults(faults);
    StatusCode::NO_CONTENT
}

/// Publishes the document in the body under the revision that it names.
async fn publish(State(store): State<Arc<ConfigStore>>, document: String) -> StatusCode {
    match store.publish_document(&document) {
        Ok(_) => StatusCode::NO_CONTENT,
        Err(_) => StatusCode::BAD_REQUEST,
    }
}

async fn state(State(store): State<Arc<ConfigStore>>) -> Json<Value> {
    Json(json!({ "watches": store.watches(), "faults": store.faults() }))
}
