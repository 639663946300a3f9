//! HTTP interface of the configuration service stand-in.

use super::{
    faults::ServiceFaults,
    store::{ConfigStore, MAX_VALUE_BYTES},
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

/// Interval at which a waiting watch counts as one more call.
const WATCH_CALL_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum size of a request body, in bytes; a published document may span several values.
const MAX_BODY_BYTES: usize = 16 * MAX_VALUE_BYTES;

#[derive(Debug, Deserialize)]
struct WatchQuery {
    after: Revision,
    wait_ms: u64,
}

/// Reason why a call gets no value; its text is the body of the HTTP response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
enum ServiceError {
    #[error("service is down")]
    Down,
    #[error("too many calls")]
    RateLimited(Duration),
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
            Self::RateLimited(wait) => {
                let headers = [(RETRY_AFTER, retry_after(wait))];
                (StatusCode::TOO_MANY_REQUESTS, headers, text).into_response()
            }
        }
    }
}

impl ConfigStore {
    /// Returns the HTTP routes of the service; those under `/debug` are for tests.
    pub fn router(self: &Arc<Self>) -> Router {
        Router::new()
            .route("/v1/values/{*key}", get(get_value).put(put_value))
            .route("/v1/watch/{*key}", get(watch_value))
            .route("/debug/faults", post(set_faults))
            .route("/debug/publish", post(publish))
            .route("/debug/state", get(state))
            .layer(DefaultBodyLimit::max(MAX_BODY_BYTES))
            .with_state(Arc::clone(self))
    }

    /// Admits a reader's call after the injected delay; fails if the service is down or the rate
    /// limit is reached.
    async fn admit_call(&self) -> Result<(), ServiceError> {
        self.count_call().map_err(ServiceError::RateLimited)?;
        let delay_ms = self.faults().slow_ms;
        if delay_ms > 0 {
            sleep(Duration::from_millis(delay_ms)).await;
        }
        self.check_available()
    }

    fn check_available(&self) -> Result<(), ServiceError> {
        if self.faults().down { Err(ServiceError::Down) } else { Ok(()) }
    }
}

async fn get_value(
    State(store): State<Arc<ConfigStore>>,
    Path(key): Path<String>,
) -> Result<Bytes, ServiceError> {
    store.admit_call().await?;
    store.get(&key).ok_or(ServiceError::Unknown)
}

async fn put_value(
    State(store): State<Arc<ConfigStore>>,
    Path(key): Path<String>,
    value: Bytes,
) -> Result<StatusCode, ServiceError> {
    if value.len() > MAX_VALUE_BYTES {
        return Err(ServiceError::TooLarge);
    }
    store.put(&key, value);
    Ok(StatusCode::NO_CONTENT)
}

async fn watch_value(
    State(store): State<Arc<ConfigStore>>,
    Path(key): Path<String>,
    Query(watch): Query<WatchQuery>,
) -> Result<Response, ServiceError> {
    store.admit_call().await?;
    let timeout = sleep(Duration::from_millis(watch.wait_ms));
    tokio::select! {
        value = wait_newer(&store, &key, watch.after) => Ok(value?.into_response()),
        () = timeout => Ok(StatusCode::NOT_MODIFIED.into_response()),
    }
}

/// Waits until the value of `key` has a revision above `after`.
///
/// Fails if the service goes down or the waiting exceeds the rate limit.
async fn wait_newer(
    store: &ConfigStore,
    key: &str,
    after: Revision,
) -> Result<Bytes, ServiceError> {
    let mut changes = store.changes();
    let mut call_ticks = interval(WATCH_CALL_INTERVAL);
    call_ticks.reset();
    loop {
        store.check_available()?;
        if let Some(value) = store.get_newer(key, after) {
            return Ok(value);
        }
        tokio::select! {
            _ = changes.changed() => {}
            _ = call_ticks.tick() => store.count_call().map_err(ServiceError::RateLimited)?,
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

/// Publishes the document in the body under the revision that it contains.
async fn publish(State(store): State<Arc<ConfigStore>>, document: String) -> StatusCode {
    match store.publish_document(&document) {
        Ok(_) => StatusCode::NO_CONTENT,
        Err(_) => StatusCode::BAD_REQUEST,
    }
}

async fn state(State(store): State<Arc<ConfigStore>>) -> Json<Value> {
    Json(json!({ "watches": store.waiting_watches(), "faults": store.faults() }))
}
