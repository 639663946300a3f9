//! Draws the weights that orders need from the weight store.

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

/// Pause after a failed read that names none.
const PAUSE: Duration = Duration::from_millis(200);

/// Largest weights, in bytes.
const MAX_WEIGHTS: usize = 64 << 20;

/// Draws weights from the store at `address` until `stop` is cancelled.
pub async fn draw_weights(
    engine: Arc<Engine>,
    address: SocketAddr,
    stop: CancellationToken,
) -> TaskResult {
    let client = Client::default();
    let draw = async {
        loop {
            let wanted = wanted(&engine).await;
            match read(&client, address, &wanted).await {
                Ok(None) => engine.change(|core| core.models.weights_here(&wanted, core.now)),
                Ok(Some(pause)) => sleep(pause).await,
                Err(error) => {
                    debug!(error:%; "weights can't be read");
                    sleep(PAUSE).await;
                }
            }
        }
    };
    tokio::select! {
        () = stop.cancelled() => Ok(()),
        () = draw => Ok(()),
    }
}

/// Waits until an order needs weights.
async fn wanted(engine: &Engine) -> (ModelId, String) {
    let mut changes = engine.changes();
    loop {
        let (wanted, order_end) =
            engine.read(|core| (core.models.wanted(), core.models.order_end()));
        if let Some(wanted) = wanted {
            return wanted;
        }
        tokio::select! {
            // The order after this one may need weights.
            () = wait_until(order_end) => {}
            _ = changes.changed() => {}
        }
    }
}

/// Reads weights; returns how long to wait if the store refuses for its limit.
async fn read(
    client: &Client,
    address: SocketAddr,
    (model, version): &(ModelId, String),
) -> Result<Option<Duration>, ClientError> {
    let endpoint = Endpoint::new(address, format!("/v1/weights/{model}/{version}"));
    let answer = client.send(Method::GET, &endpoint, HeaderMap::new(), Bytes::new()).await?;
    match answer.status() {
        StatusCode::TOO_MANY_REQUESTS => return Ok(Some(retry_after(answer.headers()))),
        status if !status.is_success() => return Err(ClientError::Status(status)),
        _ => {}
    }
    read_body(answer.into_body(), MAX_WEIGHTS).await?;
    Ok(None)
}

fn retry_after(headers: &HeaderMap) -> Duration {
    let seconds = headers.get(RETRY_AFTER).and_then(|value| value.to_str().ok()?.parse().ok());
    seconds.map_or(PAUSE, Duration::from_secs)
}
