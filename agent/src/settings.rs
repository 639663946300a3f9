//! Command line and settings of an agent.

use clap::Command;
use fulmarhead_lib::{config::TargetKind, ids::TargetId};
use fulmarhead_runtime::settings::{SettingErrors, SettingsReader, flag};
use log::LevelFilter;
use std::{net::SocketAddr, time::Duration};

/// Settings of an agent, read once at the start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the target in the configuration.
    pub target: TargetId,
    /// Whether the target is an engine or an application worker.
    pub kind: TargetKind,
    /// Address that the target listens on.
    pub target_address: SocketAddr,
    /// Address to listen on for work from entries.
    pub work_address: SocketAddr,
    /// Address to listen on for control messages.
    pub control_address: SocketAddr,
    /// Address to listen on for operators: readiness, metrics and state.
    pub ops_address: SocketAddr,
    /// Address of the configuration service, which is read until there is a configuration.
    pub service_address: Option<SocketAddr>,
    /// Control addresses of entries to read the configuration from.
    pub seeds: Vec<SocketAddr>,
    /// Maximum number of concurrent requests of a cold target: one that was just started, has
    /// restarted or failed, or loads a model.
    pub cold_cap: u32,
    /// Maximum number of concurrent requests of a warm target, to which the limit of a cold one
    /// grows.
    pub warm_cap: u32,
    /// Maximum time for running work to finish after a signal to stop.
    pub stop_timeout: Duration,
    /// Least severe level of log records that are written.
    pub log_level: LevelFilter,
}

/// Returns the command line of an agent. Each flag can also be set by an environment variable.
pub fn command() -> Command {
    Command::new("fulmarhead-agent")
        .version(clap::crate_version!())
        .about("Runs beside a target, and admits, limits and logs all its work")
        .arg(flag("target", "FULMARHEAD_TARGET", "Name of the target in the configuration"))
        .arg(flag("kind", "FULMARHEAD_KIND", "engine or application").default_value("engine"))
        .arg(flag("target-address", "FULMARHEAD_TARGET_ADDRESS", "Address of the target"))
        .arg(flag("work", "FULMARHEAD_WORK", "Address for work from entries"))
        .arg(flag("control", "FULMARHEAD_CONTROL", "Address for control messages"))
        .arg(flag("ops", "FULMARHEAD_OPS", "Address for operators"))
        .arg(flag(
            "service",
            "FULMARHEAD_SERVICE",
            "Address of the configuration service, read at the start",
        ))
        .arg(flag("seeds", "FULMARHEAD_SEEDS", "Control addresses of entries, separated by commas"))
        .arg(
            flag("cold-cap", "FULMARHEAD_COLD_CAP", "Maximum concurrent requests of a cold target")
                .default_value("2"),
        )
        .arg(
            flag("warm-cap", "FULMARHEAD_WARM_CAP", "Maximum concurrent requests of a warm target")
                .default_value("64"),
        )
        .arg(
            flag(
                "stop-seconds",
                "FULMARHEAD_STOP_SECONDS",
                "Maximum time for work to finish after a signal to stop",
            )
            .default_value("30"),
        )
        .arg(
            flag("log-level", "FULMARHEAD_LOG_LEVEL", "off, error, warn, info, debug or trace")
                .default_value("info"),
        )
}

impl Settings {
    /// Reads the settings from the parsed command line.
    ///
    /// # Errors
    ///
    /// Returns all missing and invalid settings.
    pub fn read(matches: &clap::ArgMatches) -> Result<Self, SettingErrors> {
        let mut reader = SettingsReader::new(matches);
        let target = reader.required("target");
        let kind = reader.required("kind");
        let target_address = reader.required("target-address");
        let work_address = reader.required("work");
        let control_address = reader.required("control");
        let ops_address = reader.required("ops");
        let service_address = reader.optional("service");
        let seeds = reader.list("seeds");
        let cold_cap = reader.required("cold-cap");
        let warm_cap = reader.required("warm-cap");
        let stop_seconds = reader.required("stop-seconds");
        let log_level = reader.required("log-level");
        reader.finish_with(|| {
            Some(Self {
                target: target?,
                kind: kind?,
                target_address: target_address?,
                work_address: work_address?,
                control_address: control_address?,
                ops_address: ops_address?,
                service_address,
                seeds,
                cold_cap: cold_cap?,
                warm_cap: warm_cap?,
                stop_timeout: Duration::from_secs(stop_seconds?),
                log_level: log_level?,
            })
        })
    }
}
