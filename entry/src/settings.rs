//! Settings of an entry.

use clap::Command;
use fulmarhead_lib::{
    ids::{EntryId, ZoneId},
    routing::PolicyKind,
};
use fulmarhead_runtime::settings::{SettingErrors, SettingsReader, flag};
use log::LevelFilter;
use std::{net::SocketAddr, time::Duration};

/// Settings of an entry.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the entry in the configuration.
    pub id: EntryId,
    /// Zone of the entry.
    pub zone: ZoneId,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for control messages.
    pub control: SocketAddr,
    /// Address for operators.
    pub ops: SocketAddr,
    /// Configuration service.
    pub service: SocketAddr,
    /// Control addresses of entries to ask for the configuration at the start.
    pub seeds: Vec<SocketAddr>,
    /// How targets are chosen.
    pub policy: PolicyKind,
    /// Time after a signal to stop in which new requests are still taken.
    pub drain_time: Duration,
    /// Longest time for work to finish after that.
    pub stop_bound: Duration,
    /// Least severe log records that are written.
    pub log_level: LevelFilter,
}

/// Returns the command line of an entry.
pub fn command() -> Command {
    Command::new("fulmarhead-entry")
        .version(clap::crate_version!())
        .about("Takes callers' requests, chooses targets and answers in time")
        .arg(flag("id", "FULMARHEAD_ID", "Name of the entry in the configuration"))
        .arg(flag("zone", "FULMARHEAD_ZONE", "Zone of the entry"))
        .arg(flag("callers", "FULMARHEAD_CALLERS", "Address for callers"))
        .arg(flag("control", "FULMARHEAD_CONTROL", "Address for control messages"))
        .arg(flag("ops", "FULMARHEAD_OPS", "Address for operators"))
        .arg(flag("service", "FULMARHEAD_SERVICE", "Address of the configuration service"))
        .arg(flag("seeds", "FULMARHEAD_SEEDS", "Control addresses of entries, with commas"))
        .arg(
            flag(
                "policy",
                "FULMARHEAD_POLICY",
                "round_robin, least_load, two_choices or expected_wait",
            )
            .default_value("expected_wait"),
        )
        .arg(
            flag(
                "drain-seconds",
                "FULMARHEAD_DRAIN_SECONDS",
                "Time after a signal to stop in which new requests are still taken",
            )
            .default_value("5"),
        )
        .arg(
            flag("stop-seconds", "FULMARHEAD_STOP_SECONDS", "Time for work to finish at the end")
                .default_value("30"),
        )
        .arg(
            flag("log-level", "FULMARHEAD_LOG_LEVEL", "off, error, warn, info, debug or trace")
                .default_value("info"),
        )
}

impl Settings {
    /// Reads the settings from the parsed command line.
    pub fn read(matches: &clap::ArgMatches) -> Result<Self, SettingErrors> {
        let mut reader = SettingsReader::new(matches);
        let id = reader.required("id");
        let zone = reader.required("zone");
        let callers = reader.required("callers");
        let control = reader.required("control");
        let ops = reader.required("ops");
        let service = reader.required("service");
        let seeds = reader.list("seeds");
        let policy = reader.required("policy");
        let drain_seconds = reader.required("drain-seconds");
        let stop_seconds = reader.required("stop-seconds");
        let log_level = reader.required("log-level");
        reader.finish_with(|| {
            Some(Self {
                id: id?,
                zone: zone?,
                callers: callers?,
                control: control?,
                ops: ops?,
                service: service?,
                seeds,
                policy: policy?,
                drain_time: Duration::from_secs(drain_seconds?),
                stop_bound: Duration::from_secs(stop_seconds?),
                log_level: log_level?,
            })
        })
    }
}
