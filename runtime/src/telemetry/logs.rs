//! Logs as JSON lines on standard output, written by a thread of their own.

use log::{LevelFilter, Record, SetLoggerError};
use log4rs::{
    append::Append,
    config::{Appender, Config, Logger, Root, runtime::ConfigErrors},
    encode::{Encode, json::JsonEncoder, writer::simple::SimpleWriter},
};
use std::{
    io::{self, Write},
    sync::{
        Arc, Condvar, Mutex, MutexGuard,
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    thread,
    time::Duration,
};

/// Lines that wait to be written, a few seconds' worth; beyond that they are dropped and counted.
const QUEUE: usize = 4_096;

/// Longest time that a process waits at its end for its last lines to be written.
const FLUSH_TIME: Duration = Duration::from_millis(200);

/// Targets of the project's own records: its modules and the decisions on requests. Records of
/// libraries are written from warnings on.
const OWN_TARGETS: [&str; 13] = [
    "decision",
    "fulmarhead",
    "fulmarhead_agent",
    "fulmarhead_entry",
    "fulmarhead_gateway",
    "fulmarhead_lib",
    "fulmarhead_load",
    "fulmarhead_local",
    "fulmarhead_platform",
    "fulmarhead_runtime",
    "fulmarhead_spec",
    "standins",
    "testutils",
];

/// Why the logs could not be set up.
#[derive(Debug, thiserror::Error)]
pub enum LogError {
    /// The logger's configuration is invalid.
    #[error(transparent)]
    Config(#[from] ConfigErrors),
    /// The process has a logger already.
    #[error(transparent)]
    Installed(#[from] SetLoggerError),
    /// The thread that writes the lines could not be started.
    #[error("the thread of the log can't be started: {0}")]
    Thread(#[from] io::Error),
}

/// The number of lines that wait to be written.
#[derive(Clone, Debug, Default)]
struct Waiting(Arc<(Mutex<usize>, Condvar)>);

impl Waiting {
    fn lock(&self) -> MutexGuard<'_, usize> {
        self.0.0.lock().expect("no holder of the lock panics")
    }

    fn add(&self) {
        *self.lock() += 1;
    }

    fn remove(&self, lines: usize) {
        let mut waiting = self.lock();
        *waiting = waiting.saturating_sub(lines);
        self.0.1.notify_all();
    }

    /// Waits until all lines are written or the time is up.
    fn wait(&self) {
        let waiting = self.lock();
        drop(self.0.1.wait_timeout_while(waiting, FLUSH_TIME, |waiting| *waiting > 0));
    }
}

/// Encodes records and passes them to the thread that writes them; never waits for it.
#[derive(Debug)]
struct QueueAppender {
    encoder: JsonEncoder,
    queue: SyncSender<Vec<u8>>,
    waiting: Waiting,
}

impl Append for QueueAppender {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        let mut line = SimpleWriter(Vec::with_capacity(512));
        self.encoder.encode(&mut line, record)?;
        self.waiting.add();
        if self.queue.try_send(line.0).is_err() {
            self.waiting.remove(1);
            metrics::counter!("fulmarhead_log_lines_dropped_total").increment(1);
        }
        Ok(())
    }

    fn flush(&self) {
        self.waiting.wait();
    }
}

/// Writes log records of `level` and above to standard output, one JSON object a line.
///
/// # Errors
/// If the process has a logger already or the thread that writes can't be started.
pub fn init_logs(level: LevelFilter) -> Result<(), LogError> {
    let (queue, lines) = sync_channel(QUEUE);
    let waiting = Waiting::default();
    let written = waiting.clone();
    thread::Builder::new().name("log".to_owned()).spawn(move || write_lines(&lines, &written))?;
    let appender = QueueAppender { encoder: JsonEncoder::new(), queue, waiting };
    let mut config =
        Config::builder().appender(Appender::builder().build("queue", Box::new(appender)));
    for target in OWN_TARGETS {
        config = config.logger(Logger::builder().build(target, level));
    }
    let libraries = level.min(LevelFilter::Warn);
    log4rs::init_config(config.build(Root::builder().appender("queue").build(libraries))?)?;
    Ok(())
}

/// Writes lines until the process ends; a closed output ends the thread, and lines are dropped.
fn write_lines(lines: &Receiver<Vec<u8>>, waiting: &Waiting) {
    while let Ok(line) = lines.recv() {
        let batch: Vec<Vec<u8>> = std::iter::once(line).chain(lines.try_iter()).collect();
        let mut output = io::stdout().lock();
        let result = output.write_all(&batch.concat()).and_then(|()| output.flush());
        waiting.remove(batch.len());
        if result.is_err() {
            return;
        }
    }
}
