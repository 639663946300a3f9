//! Download of the weights that orders need from the weight store.

use super::shared::{Engine, wait_until};
use axum::http::header::{HeaderMap, RETRY_AFTER};
use bytes::Bytes;
use fulmarhead_lib::ids::ModelId;
use fulmarhead_runtime::{
    http::{Client, ClientError, Endpoint, read_body},
    supervisor::TaskResult,
};
use hyper::{Method, StatusCode};
use log::debug;
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

/// Delay before a retry if the store gives no `Retry-After`.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Maximum size of one set of weights, in bytes.
const MAX_WEIGHTS_BYTES: usize = 64 << 20;

/// Downloads weights for pending orders from the store at `address` until `stop` is cancelled.
///
/// Failed downloads are retried without a limit.
pub async fn download_weights(
    engine: Arc<Engine>,
    address: SocketAddr,
    stop: CancellationToken,
) -> TaskResult {
    let client = Client::default();
    let download = async {
        loop {
            let weights = needed_weights(&engine).await;
            match fetch_weights(&client, address, &weights).await {
                Ok(None) => engine.change(|state| state.models.record_weights(&weights, state.now)),
                Ok(Some(delay)) => sleep(delay).await,
                Err(error) => {
                    debug!(error:%; "download from the weight store failed; retrying");
                    sleep(RETRY_DELAY).await;
                }
            }
        }
    };
    tokio::select! {
        () = stop.cancelled() => Ok(()),
        () = download => Ok(()),
    }
}

/// Waits until the current order needs weights; returns the model and the version or adapter.
async fn needed_weights(engine: &Engine) -> (ModelId, String) {
    let mut changes = engine.changes();
    loop {
        let (weights, order_end) =
            engine.read(|state| (state.models.needed_weights(), state.models.order_end()));
        if let Some(weights) = weights {
            return weights;
        }
        tokio::select! {
            // The order that follows the current one may need weights.
            () = wait_until(order_end) => {}
            _ = changes.changed() => {}
        }
    }
}

/// Downloads weights; returns the delay before a retry if the store's rate limit refuses.
async fn fetch_weights(
    client: &Client,
    address: SocketAddr,
    (model, version): &(ModelId, String),
) -> Result<Option<Duration>, ClientError> {
    let endpoint = Endpoint::new(address, format!("/v1/weights/{model}/{version}"));
    let response = client.send(Method::GET, &endpoint, HeaderMap::new(), Bytes::new()).await?;
    match response.status() {
        StatusCode::TOO_MANY_REQUESTS => return Ok(Some(retry_after(response.headers()))),
        status if !status.is_success() => return Err(ClientError::Status(status)),
        _ => {}
    }
    read_body(response.into_body(), MAX_WEIGHTS_BYTES).await?;
    Ok(None)
}

fn retry_after(headers: &HeaderMap) -> Duration {
    let seconds = headers.get(RETRY_AFTER).and_then(|value| value.to_str().ok()?.parse().ok());
    seconds.map_or(RETRY_DELAY, Duration::from_secs)
}
