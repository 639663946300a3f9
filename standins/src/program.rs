//! What the programs of the stand-ins share: flags, logs and the supervisor tree.

use axum::Router;
use clap::Command;
use eyre::Result;
use fulmarhead_runtime::{
    clock::SystemClock,
    http::{Server, ServerSettings},
    process::run_until_terminated,
    settings::{SettingsReader, flag},
    supervisor::Supervisor,
    telemetry::init_logs,
};
use log::{LevelFilter, info};
use std::{net::SocketAddr, process::ExitCode, sync::Arc, time::Duration};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

/// Longest time for open connections to finish at the end; waiting watches end by then.
const STOP_BOUND: Duration = Duration::from_secs(5);

/// Settings that each stand-in has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Program {
    /// Address to serve.
    pub address: SocketAddr,
    /// Least severe log records that are written.
    pub log_level: LevelFilter,
}

/// Returns the command line of the stand-in `name` with the flags that all have.
pub fn command(name: &'static str, about: &'static str) -> Command {
    Command::new(name)
        .version(clap::crate_version!())
        .about(about)
        .arg(flag("address", "STANDIN_ADDRESS", "Address to serve"))
        .arg(
            flag("log-level", "STANDIN_LOG_LEVEL", "off, error, warn, info, debug or trace")
                .default_value("info"),
        )
}

impl Program {
    /// Reads the settings that all stand-ins have.
    pub fn read(reader: &mut SettingsReader<'_>) -> Option<Self> {
        let address = reader.required("address");
        let log_level = reader.required("log-level");
        Some(Self { address: address?, log_level: log_level? })
    }

    /// Starts the logs, binds the address and returns a supervisor whose child serves `router`.
    pub async fn start(self, name: &'static str, router: Router) -> Result<Supervisor> {
        init_logs(self.log_level)?;
        let listener = Arc::new(TcpListener::bind(self.address).await?);
        let address = listener.local_addr()?;
        info!(address:%; "{name} listens");
        let root = Supervisor::new(name, SystemClock::shared()).stop_timeout(STOP_BOUND);
        Ok(root.permanent("server", move |stop| {
            Server::new(Arc::clone(&listener), router.clone(), ServerSettings::default()).run(stop)
        }))
    }
}

/// Runs a supervisor tree until SIGTERM.
pub async fn run(root: Supervisor) -> Result<ExitCode> {
    let shutdown = CancellationToken::new();
    run_until_terminated(root.run(shutdown.clone()), &shutdown).await?;
    Ok(ExitCode::SUCCESS)
}
