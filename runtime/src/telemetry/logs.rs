//! Logging as JSON lines to standard output, through a dedicated writer thread.

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

/// Capacity of the queue of unwritten lines: a few seconds of logs. Lines beyond it are dropped and
/// counted.
const QUEUE_LINES: usize = 4_096;

/// Maximum time that a process waits at exit until its last lines are written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// Log targets of the project: its crates and the target `decision`. Records of other targets come
/// from libraries and are written from level warn on.
const PROJECT_LOG_TARGETS: [&str; 13] = [
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

/// Reasons why logging could not be initialized.
#[derive(Debug, thiserror::Error)]
pub enum LogError {
    /// The log4rs configuration is invalid.
    #[error(transparent)]
    Config(#[from] ConfigErrors),
    /// A logger is already installed.
    #[error(transparent)]
    Installed(#[from] SetLoggerError),
    /// The writer thread could not be started.
    #[error("log writer thread can't be started: {0}")]
    Thread(#[from] io::Error),
}

/// Number of lines that are queued and not yet written.
#[derive(Clone, Debug, Default)]
struct PendingLines(Arc<(Mutex<usize>, Condvar)>);

impl PendingLines {
    fn lock(&self) -> MutexGuard<'_, usize> {
        self.0.0.lock().expect("no holder of the lock panics")
    }

    fn add(&self) {
        *self.lock() += 1;
    }

    fn remove(&self, lines: usize) {
        let mut pending = self.lock();
        *pending = pending.saturating_sub(lines);
        self.0.1.notify_all();
    }

    /// Waits until all lines are written or the flush timeout has passed.
    fn wait(&self) {
        let pending = self.lock();
        drop(self.0.1.wait_timeout_while(pending, FLUSH_TIMEOUT, |pending| *pending > 0));
    }
}

/// Appender that encodes records and queues them for the writer thread without blocking.
#[derive(Debug)]
struct QueueAppender {
    encoder: JsonEncoder,
    queue: SyncSender<Vec<u8>>,
    pending: PendingLines,
}

impl Append for QueueAppender {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        let mut line = SimpleWriter(Vec::with_capacity(512));
        self.encoder.encode(&mut line, record)?;
        self.pending.add();
        if self.queue.try_send(line.0).is_err() {
            self.pending.remove(1);
            metrics::counter!("fulmarhead_log_lines_dropped_total").increment(1);
        }
        Ok(())
    }

    fn flush(&self) {
        self.pending.wait();
    }
}

/// Installs a logger that writes the project's records of `level` and above to standard output, one
/// JSON object per line. Records of libraries are written only from level warn on.
///
/// # Errors
///
/// Returns an error if the configuration of log4rs is invalid, a logger is already installed or the
/// writer thread can't be started.
pub fn init_logs(level: LevelFilter) -> Result<(), LogError> {
    let (queue, lines) = sync_channel(QUEUE_LINES);
    let pending = PendingLines::default();
    let writer_pending = pending.clone();
    thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || write_lines(&lines, &writer_pending))?;
    let appender = QueueAppender { encoder: JsonEncoder::new(), queue, pending };
    let mut config =
        Config::builder().appender(Appender::builder().build("queue", Box::new(appender)));
    for target in PROJECT_LOG_TARGETS {
        config = config.logger(Logger::builder().build(target, level));
    }
    let libraries = level.min(LevelFilter::Warn);
    log4rs::init_config(config.build(Root::builder().appender("queue").build(libraries))?)?;
    Ok(())
}

/// Writes queued lines until the process exits. A write error ends the thread; further lines are
/// dropped.
fn write_lines(lines: &Receiver<Vec<u8>>, pending: &PendingLines) {
    while let Ok(line) = lines.recv() {
        let batch: Vec<Vec<u8>> = std::iter::once(line).chain(lines.try_iter()).collect();
        let mut output = io::stdout().lock();
        let result = output.write_all(&batch.concat()).and_then(|()| output.flush());
        pending.remove(batch.len());
        if result.is_err() {
            return;
        }
    }
}
