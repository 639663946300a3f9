//! Settings of an entry, from flags and environment variables.

use clap::Command;
use fulmarhead_lib::{
    ids::{EntryId, ZoneId},
    routing::{AffinityKind, PolicyKind},
};
use fulmarhead_runtime::settings::{SettingErrors, SettingsReader, flag};
use log::LevelFilter;
use std::{net::SocketAddr, time::Duration};

/// Settings of an entry, fixed for the lifetime of the process.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Identifier of the entry in the configuration.
    pub id: EntryId,
    /// Availability zone in which the entry runs.
    pub zone: ZoneId,
    /// Listen address of the HTTP API for callers.
    pub caller_address: SocketAddr,
    /// Listen address for control messages.
    pub control_address: SocketAddr,
    /// Listen address of the HTTP API for operators.
    pub ops_address: SocketAddr,
    /// Address of the configuration service.
    pub service_address: SocketAddr,
    /// Control addresses of the entries from which to get the first configuration.
    pub seeds: Vec<SocketAddr>,
    /// Policy by which targets are chosen.
    pub policy: PolicyKind,
    /// How targets are expected to keep the prefixes of prompts.
    pub affinity: AffinityKind,
    /// Time after a termination signal in which new requests are still accepted.
    pub drain_time: Duration,
    /// Maximum time for running requests to finish after the drain time.
    pub stop_timeout: Duration,
    /// Memory that the process may use, in bytes.
    pub memory_bytes: u64,
    /// Minimum severity of log records.
    pub log_level: LevelFilter,
}

/// Returns the command line of an entry.
pub fn command() -> Command {
    Command::new("fulmarhead-entry")
        .version(clap::crate_version!())
        .about("Accepts requests from callers and routes them to targets")
        .arg(flag("id", "FULMARHEAD_ID", "Name of the entry in the configuration"))
        .arg(flag("zone", "FULMARHEAD_ZONE", "Zone of the entry"))
        .arg(flag("callers", "FULMARHEAD_CALLERS", "Address for callers"))
        .arg(flag("control", "FULMARHEAD_CONTROL", "Address for control messages"))
        .arg(flag("ops", "FULMARHEAD_OPS", "Address for operators"))
        .arg(flag("service", "FULMARHEAD_SERVICE", "Address of the configuration service"))
        .arg(flag("seeds", "FULMARHEAD_SEEDS", "Control addresses of entries, separated by commas"))
        .arg(
            flag(
                "policy",
                "FULMARHEAD_POLICY",
                "Policy by which targets are chosen: round_robin, least_load, two_choices or \
                 expected_wait",
            )
            .default_value("expected_wait"),
        )
        .arg(
            flag(
                "prefix-affinity",
                "FULMARHEAD_PREFIX_AFFINITY",
                "How targets are expected to keep prefixes: recent_sends or expected_saving",
            )
            .default_value("recent_sends"),
        )
        .arg(
            flag(
                "drain-seconds",
                "FULMARHEAD_DRAIN_SECONDS",
                "Time after a termination signal in which new requests are still accepted",
            )
            .default_value("5"),
        )
        .arg(
            flag(
                "stop-seconds",
                "FULMARHEAD_STOP_SECONDS",
                "Maximum time for running requests to finish after the drain time",
            )
            .default_value("30"),
        )
        .arg(
            flag("memory-mb", "FULMARHEAD_MEMORY_MB", "Memory that the process may use, in MiB")
                .default_value("1024"),
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
        let id = reader.required("id");
        let zone = reader.required("zone");
        let caller_address = reader.required("callers");
        let control_address = reader.required("control");
        let ops_address = reader.required("ops");
        let service_address = reader.required("service");
        let seeds = reader.list("seeds");
        let policy = reader.required("policy");
        let affinity = reader.required("prefix-affinity");
        let drain_seconds = reader.required("drain-seconds");
        let stop_seconds = reader.required("stop-seconds");
        let memory_mb = reader.required::<u32>("memory-mb");
        let log_level = reader.required("log-level");
        reader.finish_with(|| {
            Some(Self {
                id: id?,
                zone: zone?,
                caller_address: caller_address?,
                control_address: control_address?,
                ops_address: ops_address?,
                service_address: service_address?,
                seeds,
                policy: policy?,
                affinity: affinity?,
                drain_time: Duration::from_secs(drain_seconds?),
                stop_timeout: Duration::from_secs(stop_seconds?),
                memory_bytes: u64::from(memory_mb?) << 20,
                log_level: log_level?,
            })
        })
    }
}
