//! Command line and settings of `fulmarhead-local`.

use crate::plan::{AgentAddresses, Plan};
use clap::{Arg, ArgAction, ArgMatches, Command};
use fulmarhead_lib::config::Policy;
use fulmarhead_runtime::settings::{SettingErrors, SettingsReader, flag};
use log::LevelFilter;
use standins::engine::EngineSettings;

/// Settings of `fulmarhead-local`.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Composition of the fleet.
    pub plan: Plan,
    /// Whether to run the demo and exit, instead of serving until terminated.
    pub demo: bool,
    /// Maximum level of the log records that are written.
    pub log_level: LevelFilter,
}

/// Returns the command line parser of `fulmarhead-local`.
pub fn command() -> Command {
    Command::new("fulmarhead-local")
        .version(clap::crate_version!())
        .about("Runs entries, agents and stand-ins in one process on loopback ports")
        .arg(Arg::new("demo").long("demo").action(ArgAction::SetTrue).help(
            "Send requests of all kinds, print the results, and exit 0 if all are as expected",
        ))
        .arg(flag("entries", "FULMARHEAD_ENTRIES", "Number of entries").default_value("2"))
        .arg(flag("engines", "FULMARHEAD_ENGINES", "Number of model engines").default_value("6"))
        .arg(
            flag("workers", "FULMARHEAD_WORKERS", "Number of application workers")
                .default_value("3"),
        )
        .arg(flag("teams", "FULMARHEAD_TEAMS", "Number of teams").default_value("1"))
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
                "prefix-affinity",
                "FULMARHEAD_PREFIX_AFFINITY",
                "recent_sends or expected_saving",
            )
            .default_value("recent_sends"),
        )
        .arg(
            flag("cache-total", "FULMARHEAD_CACHE_TOTAL", "Prefix cache of an engine, in tokens")
                .default_value("150000"),
        )
        .arg(flag("long-share", "FULMARHEAD_LONG_SHARE", "policy.long_share of the configuration"))
        .arg(flag(
            "zone-reserve",
            "FULMARHEAD_ZONE_RESERVE",
            "policy.zone_reserve of the configuration",
        ))
        .arg(
            flag("service-port", "FULMARHEAD_SERVICE_PORT", "Port of the configuration service")
                .default_value("0"),
        )
        .arg(flag(
            "extra-work",
            "FULMARHEAD_EXTRA_WORK",
            "Address for work of an agent that runs as a separate process",
        ))
        .arg(flag(
            "extra-control",
            "FULMARHEAD_EXTRA_CONTROL",
            "Address for control messages of that agent",
        ))
        .arg(
            flag("log-level", "FULMARHEAD_LOG_LEVEL", "off, error, warn, info, debug or trace")
                .default_value("warn"),
        )
}

impl Settings {
    /// Reads the settings from the parsed command line, or returns all errors in them at once.
    ///
    /// The extra agent is added only if both of its addresses are given.
    pub fn read(matches: &ArgMatches) -> Result<Self, SettingErrors> {
        let mut reader = SettingsReader::new(matches);
        let entries = reader.required("entries");
        let engines = reader.required("engines");
        let workers = reader.required("workers");
        let teams = reader.required("teams");
        let policy = reader.required("policy");
        let affinity = reader.required("prefix-affinity");
        let cache_total = reader.required("cache-total");
        let long_share = reader.optional("long-share");
        let zone_reserve = reader.optional("zone-reserve");
        let service_port = reader.required("service-port");
        let work = reader.optional("extra-work");
        let control = reader.optional("extra-control");
        let log_level = reader.required("log-level");
        let extra_agent = work.zip(control).map(|(work, control)| AgentAddresses { work, control });
        reader.finish_with(|| {
            let default = Policy::default();
            let policy_section = Policy {
                long_share: long_share.unwrap_or(default.long_share),
                zone_reserve: zone_reserve.unwrap_or(default.zone_reserve),
            };
            let plan = Plan {
                policy_section,
                entries: entries?,
                engines: engines?,
                workers: workers?,
                teams: teams?,
                policy: policy?,
                affinity: affinity?,
                engine: EngineSettings { cache_total: cache_total?, ..EngineSettings::default() },
                service_port: service_port?,
                extra_agent,
                ..Plan::default()
            };
            Some(Self { plan, demo: matches.get_flag("demo"), log_level: log_level? })
        })
    }
}
