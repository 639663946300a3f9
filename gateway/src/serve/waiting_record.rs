//! Writes the decisions about requests that wait for capacity to the log and the metrics.

use fulmarhead_lib::{
    placement::{Choice, Forecast},
    shortage::{Cause, Standing},
};
use log::info;
use std::time::Duration;

/// Records a request that is refused because of its forecast, or because the queue is full.
pub(super) fn refused_by_forecast(
    request: &str,
    cause: Cause,
    forecast: &Forecast,
    standing: &Standing,
) {
    let cause = <&'static str>::from(cause);
    metrics::counter!("fulmarhead_forecast_refusals_total", "cause" => cause).increment(1);
    let (earliest_ms, begin_ms) = (millis(forecast.earliest), millis(forecast.expected));
    let (service_ms, left_ms) = (millis(forecast.service_time()), millis(standing.time_left));
    let returned = standing.returned;
    info!(
        target: "decision", request, cause, earliest_ms, begin_ms, service_ms, left_ms, returned;
        "refusing a request by its forecast"
    );
}

/// Records that a request is not sent to the chosen target, which can't complete it in time.
pub(super) fn send_withheld(
    request: &str,
    choice: &Choice,
    forecast: &Forecast,
    time_left: Duration,
) {
    metrics::counter!("fulmarhead_sends_withheld_total").increment(1);
    let (backend, earliest_ms) = (&*choice.target, millis(forecast.earliest));
    let (service_ms, left_ms) = (millis(forecast.service_time()), millis(time_left));
    info!(
        target: "decision", request, backend, earliest_ms, service_ms, left_ms;
        "not sending to a target that can't complete the request in time"
    );
}

/// Records that a request waits for capacity for at most `wait`, unless the forecast changes.
pub(super) fn waiting(request: &str, wait: Duration, waiting: usize, forecast: &Forecast) {
    metrics::counter!("fulmarhead_waits_total").increment(1);
    let (wait_ms, begin_ms) = (millis(wait), millis(forecast.expected));
    info!(target: "decision", request, wait_ms, begin_ms, waiting; "waiting for capacity");
}

/// Records the end of the wait of a request, which is sent or refused.
pub(super) fn wait_ended(request: &str, wait: Duration, sent: bool) {
    let outcome = if sent { "sent" } else { "refused" };
    metrics::histogram!("fulmarhead_capacity_wait_seconds", "outcome" => outcome)
        .record(wait.as_secs_f64());
    let waited_ms = millis(wait);
    info!(target: "decision", request, waited_ms, outcome; "the wait for capacity has ended");
}

/// Records that a request whose caller was refused before is sent.
pub(super) fn return_sent() {
    metrics::counter!("fulmarhead_returns_admitted_total").increment(1);
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
