//! Stand-in for the weight store, whose rate limit all readers share.

use crate::rate::{RateLimit, retry_after};
use axum::{
    Router,
    extract::{Path, State},
    http::{StatusCode, header::RETRY_AFTER},
    response::{IntoResponse, Response},
    routing::get,
};
use fulmarhead_lib::{clock::SharedClock, ids::ModelId};
use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

/// Size of the weights and rate limit of the store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WeightSettings {
    /// Size of each set of weights, in bytes.
    pub bytes: usize,
    /// Reads per second, over all readers.
    pub rate: f64,
    /// Maximum burst of reads, over all readers.
    pub burst: f64,
}

/// Weight store that has generated weights for every model and version.
pub struct WeightStore {
    settings: WeightSettings,
    clock: SharedClock,
    limit: Mutex<RateLimit>,
}

impl WeightStore {
    /// Returns a store whose rate limit starts with a full burst.
    pub fn new(settings: WeightSettings, clock: SharedClock) -> Arc<Self> {
        let limit = RateLimit::new(settings.rate, settings.burst, clock.now());
        Arc::new(Self { settings, clock, limit: Mutex::new(limit) })
    }

    /// Returns the HTTP routes of the store.
    pub fn router(self: &Arc<Self>) -> Router {
        Router::new()
            .route("/v1/weights/{model}/{version}", get(get_weights))
            .with_state(Arc::clone(self))
    }

    fn try_take(&self) -> Result<(), Duration> {
        let mut limit = self.limit.lock().expect("no holder of the lock panics");
        limit.try_take(self.clock.now())
    }
}

async fn get_weights(
    State(store): State<Arc<WeightStore>>,
    Path((model, version)): Path<(ModelId, String)>,
) -> Response {
    if let Err(wait) = store.try_take() {
        let headers = [(RETRY_AFTER, retry_after(wait))];
        return (StatusCode::TOO_MANY_REQUESTS, headers).into_response();
    }
    let pattern = format!("{model}/{version}\n").into_bytes();
    let weights: Vec<u8> = pattern.into_iter().cycle().take(store.settings.bytes).collect();
    weights.into_response()
}
