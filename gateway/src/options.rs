//! Settings that are specific to the gateway. Those of the VM come from the platform's settings
//! file.

use clap::{ArgMatches, Command};
use fulmarhead_runtime::settings::{SettingErrors, SettingsReader, flag};
use log::LevelFilter;

/// Command line options of a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// Port that serves metrics, state and health to operators; no such server without it.
    pub ops_port: Option<u16>,
    /// Lowest severity of log records that are written.
    pub log_level: LevelFilter,
}

/// Returns the definition of the command line.
pub fn command() -> Command {
    Command::new("fulmarhead-gateway")
        .version(clap::crate_version!())
        .about("Takes callers' requests on the shared platform and calls targets directly")
        .arg(flag("ops-port", "FULMARHEAD_OPS_PORT", "Port for metrics, state and health"))
        .arg(
            flag("log-level", "FULMARHEAD_LOG_LEVEL", "off, error, warn, info, debug or trace")
                .default_value("info"),
        )
}

impl Options {
    /// Reads the options from the parsed command line.
    ///
    /// # Errors
    ///
    /// Returns all options with invalid values.
    pub fn read(matches: &ArgMatches) -> Result<Self, SettingErrors> {
        let mut reader = SettingsReader::new(matches);
        let ops_port = reader.optional("ops-port");
        let log_level = reader.required("log-level");
        reader.finish_with(|| Some(Self { ops_port, log_level: log_level? }))
    }
}
