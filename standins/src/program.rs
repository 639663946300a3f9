//! Parts that all stand-in programs share: flags, logs and the supervisor tree.

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

/// Maximum time for open connections to finish at shutdown; waiting watches end within it.
const STOP_TIMEOUT: Duration = Duration::from_secs(5);

/// Settings that all stand-ins have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProgramSettings {
    /// Address to listen on.
    pub address: SocketAddr,
    /// Minimum severity of the log records that are written.
    pub log_level: LevelFilter,
}

/// Returns the command line of the stand-in `name`, with the flags that all stand-ins have.
pub fn command(name: &'static str, about: &'static str) -> Command {
    Command::new(name)
        .version(clap::crate_version!())
        .about(about)
        .arg(flag("address", "STANDIN_ADDRESS", "Address to listen on"))
        .arg(
            flag("log-level", "STANDIN_LOG_LEVEL", "off, error, warn, info, debug or trace")
                .default_value("info"),
        )
}

impl ProgramSettings {
    /// Reads the common settings; returns `None` if one is missing or invalid.
    pub fn read(reader: &mut SettingsReader<'_>) -> Option<Self> {
        let address = reader.required("address");
        let log_level = reader.required("log-level");
        Some(Self { address: address?, log_level: log_level? })
    }

    /// Initializes logging, binds the address and returns a supervisor with a child that serves
    /// `router`.
    ///
    /// Fails if logging is already initialized or the address can't be bound.
    pub async fn start(self, name: &'static str, router: Router) -> Result<Supervisor> {
        init_logs(self.log_level)?;
        let listener = Arc::new(TcpListener::bind(self.address).await?);
        let address = listener.local_addr()?;
        info!(address:%; "{name} is listening");
        let root = Supervisor::new(name, SystemClock::shared()).stop_timeout(STOP_TIMEOUT);
        Ok(root.permanent("server", move |stop| {
            Server::new(Arc::clone(&listener), router.clone(), ServerSettings::default()).run(stop)
        }))
    }
}

/// Runs a supervisor tree until SIGTERM, then stops it.
pub async fn run(root: Supervisor) -> Result<ExitCode> {
    let shutdown = CancellationToken::new();
    run_until_terminated(root.run(shutdown.clone()), &shutdown).await?;
    Ok(ExitCode::SUCCESS)
}
