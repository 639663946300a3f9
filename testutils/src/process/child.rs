//! A started program.

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

/// Threads of each process; a fleet of processes shares one machine.
const THREADS: &str = "2";

/// Why a process could not be started, signalled or awaited.
#[derive(Debug, thiserror::Error)]
pub enum ProcessError {
    /// The program can't be started.
    #[error("{program} can't be started (cargo build --workspace makes it): {error}")]
    Start {
        /// Program that was to be started.
        program: Program,
        /// What the system says.
        error: io::Error,
    },
    /// The process has ended.
    #[error("{0} has ended")]
    Ended(Program),
    /// The signal can't be sent.
    #[error("signal can't be sent: {0}")]
    Signal(#[from] rustix::io::Errno),
    /// The process can't be awaited.
    #[error("process can't be awaited: {0}")]
    Wait(#[from] io::Error),
    /// The process did not end in time.
    #[error("{program} did not end within {limit:?}")]
    Timeout {
        /// Program of the process.
        program: Program,
        /// Time it was given.
        limit: Duration,
    },
}

/// A process that runs a program of the workspace; it is killed when it is dropped.
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

    /// Starts `program` with flags and environment variables.
    pub fn start_with(
        program: Program,
        arguments: Vec<String>,
        variables: Vec<(String, String)>,
    ) -> Result<Self, ProcessError> {
        let lines = Arc::default();
        let child = spawn(program, &arguments, &variables, &lines)?;
        Ok(Self { program, arguments, variables, child, lines })
    }

    /// Kills the process if it still runs and starts the program again with the same flags.
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

    /// Sends a signal to this process.
    pub fn signal(&self, signal: Signal) -> Result<(), ProcessError> {
        // The id is none once the process was awaited, so that no other process gets the signal.
        let id = self.child.id().and_then(|id| Pid::from_raw(id as i32));
        let id = id.ok_or(ProcessError::Ended(self.program))?;
        Ok(kill_process(id, signal)?)
    }

    /// Ends the process with SIGKILL and awaits its end.
    pub async fn kill(&mut self) -> Result<(), ProcessError> {
        Ok(self.child.kill().await?)
    }

    /// Awaits the end of the process.
    pub async fn wait(&mut self, limit: Duration) -> Result<ExitStatus, ProcessError> {
        match timeout(limit, self.child.wait()).await {
            Ok(status) => Ok(status?),
            Err(_) => Err(ProcessError::Timeout { program: self.program, limit }),
        }
    }

    /// Returns the lines that all lives of the process have written.
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
    let started = |error| ProcessError::Start { program, error };
    let mut child = Command::new(program.path().map_err(started)?)
        .args(arguments)
        .env("TOKIO_WORKER_THREADS", THREADS)
        .envs(variables.iter().map(|(name, value)| (name, value)))
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .kill_on_drop(true)
        .spawn()
        .map_err(started)?;
    if let Some(output) = child.stdout.take() {
        tokio::spawn(collect(output, Arc::clone(lines)));
    }
    if let Some(output) = child.stderr.take() {
        tokio::spawn(collect(output, Arc::clone(lines)));
    }
    Ok(child)
}

async fn collect(output: impl AsyncRead + Unpin, lines: Arc<Mutex<Vec<String>>>) {
    let mut reader = BufReader::new(output).lines();
    while let Ok(Some(line)) = reader.next_line().await {
        lines.lock().expect("no holder of the lock panics").push(line);
    }
}
