//! Child process that runs a program of the workspace.

use super::program::Program;
use rustix::process::{Pid, kill_process};
use std::{
    io,
    process::{ExitStatus, Stdio},
    sync::{Arc, Mutex},
    time::Duration,
};
use tokio::{
    io::{AsyncBufReadExt, AsyncRead, BufReader},
    process::{Child, Command},
    time::timeout,
};

pub use rustix::process::Signal;

/// Worker threads of each process; kept low because a fleet of processes shares one machine.
const WORKER_THREADS: &str = "2";

/// Reason why a process could not be started, signalled or awaited.
#[derive(Debug, thiserror::Error)]
pub enum ProcessError {
    /// The program could not be executed; it may not be built.
    #[error("failed to start {program} (build it with cargo build --workspace): {error}")]
    Start {
        /// Program that could not be started.
        program: Program,
        /// Error of the operating system.
        error: io::Error,
    },
    /// The process has ended and can't be signalled.
    #[error("{0} has already ended")]
    Ended(Program),
    /// The operating system refused to send the signal.
    #[error("failed to send signal: {0}")]
    Signal(#[from] rustix::io::Errno),
    /// Waiting for the process, or killing it, failed.
    #[error("failed to wait for process: {0}")]
    Wait(#[from] io::Error),
    /// The process did not end within the time limit.
    #[error("{program} did not end within {limit:?}")]
    Timeout {
        /// Program that the process runs.
        program: Program,
        /// Time limit that has passed.
        limit: Duration,
    },
}

/// Process that runs a program of the workspace; it is killed on drop.
#[derive(Debug)]
pub struct Process {
    program: Program,
    arguments: Vec<String>,
    variables: Vec<(String, String)>,
    child: Child,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Process {
    /// Starts `program` with flags of the form `--flag=value`.
    pub fn start(program: Program, arguments: Vec<String>) -> Result<Self, ProcessError> {
        Self::start_with(program, arguments, Vec::new())
    }

    /// Starts `program` with flags and additional environment variables.
    pub fn start_with(
        program: Program,
        arguments: Vec<String>,
        variables: Vec<(String, String)>,
    ) -> Result<Self, ProcessError> {
        let lines = Arc::default();
        let child = spawn(program, &arguments, &variables, &lines)?;
        Ok(Self { program, arguments, variables, child, lines })
    }

    /// Kills the process if it is running, and starts the program again with the same flags and
    /// variables.
    pub async fn restart(&mut self) -> Result<(), ProcessError> {
        if !self.has_ended() {
            self.kill().await?;
        }
        self.child = spawn(self.program, &self.arguments, &self.variables, &self.lines)?;
        Ok(())
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Returns the process ID, unless the end of the process was already observed.
    pub fn id(&self) -> Option<u32> {
        self.child.id()
    }

    /// Sends a signal to the process; fails if its end was already observed.
    pub fn signal(&self, signal: Signal) -> Result<(), ProcessError> {
        // There is no id once the process was awaited, so a reused id is never signalled.
        let id = self.child.id().and_then(|id| Pid::from_raw(id as i32));
        let id = id.ok_or(ProcessError::Ended(self.program))?;
        Ok(kill_process(id, signal)?)
    }

    /// Kills the process with SIGKILL and waits for its end.
    pub async fn kill(&mut self) -> Result<(), ProcessError> {
        Ok(self.child.kill().await?)
    }

    /// Waits for the end of the process, for at most `limit`.
    pub async fn wait(&mut self, limit: Duration) -> Result<ExitStatus, ProcessError> {
        match timeout(limit, self.child.wait()).await {
            Ok(status) => Ok(status?),
            Err(_) => Err(ProcessError::Timeout { program: self.program, limit }),
        }
    }

    /// Returns the lines that the process wrote to stdout and stderr, including those from before
    /// restarts.
    pub fn lines(&self) -> Vec<String> {
        self.lines.lock().expect("no holder of the lock panics").clone()
    }
}

fn spawn(
    program: Program,
    arguments: &[String],
    variables: &[(String, String)],
    lines: &Arc<Mutex<Vec<String>>>,
) -> Result<Child, ProcessError> {
    let start_error = |error| ProcessError::Start { program, error };
    let mut child = Command::new(program.path().map_err(start_error)?)
        .args(arguments)
        .env("TOKIO_WORKER_THREADS", WORKER_THREADS)
        .envs(variables.iter().map(|(name, value)| (name, value)))
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .kill_on_drop(true)
        .spawn()
        .map_err(start_error)?;
    if let Some(output) = child.stdout.take() {
        tokio::spawn(collect_lines(output, Arc::clone(lines)));
    }
    if let Some(output) = child.stderr.take() {
        tokio::spawn(collect_lines(output, Arc::clone(lines)));
    }
    Ok(child)
}

async fn collect_lines(output: impl AsyncRead + Unpin, lines: Arc<Mutex<Vec<String>>>) {
    let mut reader = BufReader::new(output).lines();
    while let Ok(Some(line)) = reader.next_line().await {
        lines.lock().expect("no holder of the lock panics").push(line);
    }
}
