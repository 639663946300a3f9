//! Runs the load: one supervised task for the arrivals, one task for each request.

use crate::{
    arrivals::{Arrival, Arrivals, Work},
    record::{Ending, ErrorKind, Recorder, Sample},
    report::Report,
    request::{Seen, Sender, call, complete},
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

/// Time after its limit at which a request without an end counts as an error.
const MARGIN: Duration = Duration::from_secs(5);

/// Most requests that are open at once; far above what a run of any length of time opens.
const MAX_REQUESTS: usize = 1 << 20;

/// Why a run ended without a report.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The rate is out of range.
    #[error(transparent)]
    Rate(#[from] ExpError),
    /// A histogram could not be made.
    #[error(transparent)]
    Histogram(#[from] CreationError),
    /// The task of the arrivals failed.
    #[error(transparent)]
    Task(#[from] TaskError),
}

struct Load {
    settings: Settings,
    clock: SharedClock,
    client: Client,
    requests: Connections,
    recorder: Mutex<Recorder>,
}

/// Sends the load and waits for all its requests to end.
pub async fn run(settings: Settings, clock: SharedClock) -> Result<Report, RunError> {
    let arrivals = Arrivals::new(
        settings.seed,
        settings.rate,
        settings.mix,
        &settings.teams,
        settings.calls,
        settings.output,
    )?;
    let teams: Vec<TeamId> = settings.teams.iter().map(|team| team.name.clone()).collect();
    let recorder = Recorder::new(&teams, settings.warmup)?;
    let load = Arc::new(Load {
        settings,
        clock: Arc::clone(&clock),
        client: Client::default(),
        requests: Connections::new(MAX_REQUESTS),
        recorder: Mutex::new(recorder),
    });
    let done = CancellationToken::new();
    let (child, finished) = (Arc::clone(&load), done.clone());
    // A second start would send the arrivals twice, so that a failure ends the run.
    let root = Supervisor::new("load", clock)
        .restart_limit(RestartLimit { max_restarts: 0, ..RestartLimit::default() })
        .permanent("arrivals", move |stop| {
            send_all(Arc::clone(&child), arrivals.clone(), finished.clone(), stop)
        });
    root.run(done).await?;
    let report = Report::new(&load.settings, &load.recorder());
    Ok(report)
}

/// Sends each arrival at its time, whatever became of the earlier ones.
async fn send_all(
    load: Arc<Load>,
    arrivals: Arrivals,
    done: CancellationToken,
    stop: CancellationToken,
) -> TaskResult {
    let start = load.clock.now();
    let duration = load.settings.duration;
    for arrival in arrivals.take_while(|arrival| arrival.at < duration) {
        sleep_until((start + arrival.at).into()).await;
        load.requests.spawn_queued(send(Arc::clone(&load), arrival, start + arrival.at));
    }
    load.requests.finish().await;
    done.cancel();
    stop.cancelled().await;
    Ok(())
}

/// Sends one request and records how it ended; times count from its arrival.
async fn send(load: Arc<Load>, arrival: Arrival, at: Instant) {
    let mut seen = Seen { tokens: Vec::new(), ending: Ending::Error(ErrorKind::Late) };
    let limit = at + load.settings.deadline + MARGIN;
    let sender = load.sender(&arrival);
    let work = async {
        match arrival.work {
            Work::Prompt { prompt, output, .. } => {
                let sizes = (prompt, output);
                complete(&sender, &load.settings.model, arrival.number, sizes, &mut seen).await;
            }
            Work::Call => {
                let settings = &load.settings;
                let (application, path) = (&settings.application, &settings.path);
                call(&sender, application, path, arrival.number, &mut seen).await;
            }
        }
    };
    let late = timeout_at(limit.into(), work).await.is_err();
    if late {
        seen.ending = Ending::Error(ErrorKind::Late);
    }
    let end = load.clock.now();
    load.recorder().record(&sample(&arrival, &seen, at, end));
}

fn sample(arrival: &Arrival, seen: &Seen, at: Instant, end: Instant) -> Sample {
    let class = match arrival.work {
        Work::Prompt { class, .. } => Some(class),
        Work::Call => None,
    };
    Sample {
        team: arrival.team,
        class,
        arrival: arrival.at,
        first: seen.tokens.first().map(|first| first.saturating_duration_since(at)),
        gaps: seen.tokens.windows(2).map(|pair| pair[1] - pair[0]).collect(),
        total: end.saturating_duration_since(at),
        ending: seen.ending,
    }
}

impl Load {
    fn sender(&self, arrival: &Arrival) -> Sender {
        let settings = &self.settings;
        let entry = arrival.number as usize % settings.entries.len();
        Sender {
            client: self.client.clone(),
            clock: Arc::clone(&self.clock),
            entry: settings.entries[entry],
            token: settings.teams[arrival.team].token.clone(),
            deadline: settings.deadline,
        }
    }

    fn recorder(&self) -> MutexGuard<'_, Recorder> {
        self.recorder.lock().expect("no holder of the lock panics")
    }
}
