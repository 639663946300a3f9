//! Execution of a run: one supervised task for the arrivals and one task for each request.

use crate::{
    arrivals::{Arrival, Arrivals, RequestKind},
    record::{ErrorKind, Recorder, RequestResult, Sample},
    report::Report,
    request::{RequestContext, ResponseRecord, call, complete},
    settings::Settings,
};
use fulmarhead_lib::{clock::SharedClock, ids::TeamId};
use fulmarhead_runtime::{
    http::Client,
    supervisor::{Connections, RestartLimit, Supervisor, TaskError, TaskResult},
};
use hdrhistogram::CreationError;
use rand_distr::ExpError;
use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};
use tokio::time::{sleep_until, timeout_at};
use tokio_util::sync::CancellationToken;

/// Time after its deadline at which a request that has not ended counts as an error.
const DEADLINE_MARGIN: Duration = Duration::from_secs(5);

/// Limit of concurrent requests, far above what a run of any duration opens.
const MAX_OPEN_REQUESTS: usize = 1 << 20;

/// Reason that a run ended without a report.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The arrival rate is out of range.
    #[error(transparent)]
    Rate(#[from] ExpError),
    /// A histogram could not be created.
    #[error(transparent)]
    Histogram(#[from] CreationError),
    /// The task that sends the arrivals failed.
    #[error(transparent)]
    Task(#[from] TaskError),
}

/// State that the tasks of a run share.
struct LoadRun {
    settings: Settings,
    clock: SharedClock,
    client: Client,
    requests: Connections,
    recorder: Mutex<Recorder>,
}

/// Sends the load, waits until all its requests have ended, and returns the report.
///
/// Failed requests are part of the report. Returns an error if the run can't be started or the task
/// of the arrivals fails.
pub async fn run(settings: Settings, clock: SharedClock) -> Result<Report, RunError> {
    let arrivals = Arrivals::new(
        settings.seed,
        settings.rate,
        settings.mix,
        &settings.teams,
        settings.call_share,
        settings.output_range,
    )?;
    let teams: Vec<TeamId> = settings.teams.iter().map(|team| team.name.clone()).collect();
    let recorder = Recorder::new(&teams, settings.warmup)?;
    let load = Arc::new(LoadRun {
        settings,
        clock: Arc::clone(&clock),
        client: Client::default(),
        requests: Connections::new(MAX_OPEN_REQUESTS),
        recorder: Mutex::new(recorder),
    });
    let done = CancellationToken::new();
    let (child, finished) = (Arc::clone(&load), done.clone());
    // A restarted task would send the arrivals a second time, so a failure ends the run.
    let root = Supervisor::new("load", clock)
        .restart_limit(RestartLimit { max_restarts: 0, ..RestartLimit::default() })
        .permanent("arrivals", move |stop| {
            send_arrivals(Arc::clone(&child), arrivals.clone(), finished.clone(), stop)
        });
    root.run(done).await?;
    let report = Report::new(&load.settings, &load.recorder());
    Ok(report)
}

/// Sends each request at its arrival time, whether or not earlier requests have ended.
async fn send_arrivals(
    load: Arc<LoadRun>,
    arrivals: Arrivals,
    done: CancellationToken,
    stop: CancellationToken,
) -> TaskResult {
    let start = load.clock.now();
    let duration = load.settings.duration;
    for arrival in arrivals.take_while(|arrival| arrival.offset < duration) {
        sleep_until((start + arrival.offset).into()).await;
        load.requests.spawn_queued(send_request(
            Arc::clone(&load),
            arrival,
            start + arrival.offset,
        ));
    }
    load.requests.finish().await;
    done.cancel();
    stop.cancelled().await;
    Ok(())
}

/// Sends one request and records its result.
///
/// Latencies are measured from `arrived_at`, the planned arrival, so that delays in sending count.
async fn send_request(load: Arc<LoadRun>, arrival: Arrival, arrived_at: Instant) {
    let mut record =
        ResponseRecord { token_times: Vec::new(), result: RequestResult::Error(ErrorKind::Late) };
    let time_limit = arrived_at + load.settings.deadline + DEADLINE_MARGIN;
    let context = load.request_context(&arrival);
    let request = async {
        match arrival.kind {
            RequestKind::Completion { prompt_tokens, output_tokens, .. } => {
                let lengths = (prompt_tokens, output_tokens);
                let Settings { model, prefixes, .. } = &load.settings;
                complete(&context, model, arrival.number, lengths, *prefixes, &mut record).await;
            }
            RequestKind::Call => {
                let settings = &load.settings;
                let (application, path) = (&settings.application, &settings.call_path);
                call(&context, application, path, arrival.number, &mut record).await;
            }
        }
    };
    let timed_out = timeout_at(time_limit.into(), request).await.is_err();
    if timed_out {
        record.result = RequestResult::Error(ErrorKind::Late);
    }
    let ended_at = load.clock.now();
    load.recorder().record(&sample(&arrival, &record, arrived_at, ended_at));
}

fn sample(
    arrival: &Arrival,
    record: &ResponseRecord,
    arrived_at: Instant,
    ended_at: Instant,
) -> Sample {
    let class = match arrival.kind {
        RequestKind::Completion { class, .. } => Some(class),
        RequestKind::Call => None,
    };
    Sample {
        team: arrival.team,
        class,
        arrival: arrival.offset,
        first_token: record
            .token_times
            .first()
            .map(|first| first.saturating_duration_since(arrived_at)),
        token_gaps: record.token_times.windows(2).map(|pair| pair[1] - pair[0]).collect(),
        total_time: ended_at.saturating_duration_since(arrived_at),
        result: record.result,
    }
}

impl LoadRun {
    fn request_context(&self, arrival: &Arrival) -> RequestContext {
        let settings = &self.settings;
        let entry_index = arrival.number as usize % settings.entries.len();
        RequestContext {
            client: self.client.clone(),
            clock: Arc::clone(&self.clock),
            entry: settings.entries[entry_index],
            token: settings.teams[arrival.team].token.clone(),
            deadline: settings.deadline,
        }
    }

    fn recorder(&self) -> MutexGuard<'_, Recorder> {
        self.recorder.lock().expect("no holder of the lock panics")
    }
}
