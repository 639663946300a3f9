//! Program that runs the application worker stand-in, or a recorder of effects.

use clap::{ArgMatches, Command};
use fulmarhead_runtime::settings::{SettingErrors, SettingsReader, flag, parse};
use standins::{
    application::{Application, ApplicationSettings},
    cold::ColdSettings,
    program::{self, ProgramSettings},
};
use std::{process::ExitCode, time::Duration};

fn command() -> Command {
    program::command(
        "standin-application",
        "Stand-in for an application worker or a recorder of effects",
    )
    .arg(flag(
        "effects",
        "STANDIN_EFFECTS",
        "Address of a recorder that also stores the effects; by default only the worker does",
    ))
    .arg(
        flag("service-micros", "STANDIN_SERVICE_MICROS", "Execution time of one call, in µs")
            .default_value("10000"),
    )
    .arg(
        flag("capacity", "STANDIN_CAPACITY", "Maximum number of concurrent calls")
            .default_value("64"),
    )
    .arg(flag("cold", "STANDIN_COLD", "Whether the worker starts cold").default_value("false"))
    .arg(
        flag(
            "cold-capacity",
            "STANDIN_COLD_CAPACITY",
            "Maximum number of concurrent calls of a cold worker",
        )
        .default_value("8"),
    )
}

fn read_settings(
    matches: &ArgMatches,
) -> Result<(ProgramSettings, ApplicationSettings), SettingErrors> {
    let mut reader = SettingsReader::new(matches);
    let program = ProgramSettings::read(&mut reader);
    let recorder = reader.optional("effects");
    let service_micros = reader.required("service-micros");
    let capacity = reader.required("capacity");
    let starts_cold = reader.required("cold");
    let cold_capacity = reader.required("cold-capacity");
    reader.finish_with(|| {
        let cold = ColdSettings {
            starts_cold: starts_cold?,
            capacity: cold_capacity?,
            ..ColdSettings::default()
        };
        let settings = ApplicationSettings {
            service_time: Duration::from_micros(service_micros?),
            capacity: capacity?,
            recorder,
            cold,
        };
        Some((program?, settings))
    })
}

#[tokio::main]
async fn main() -> eyre::Result<ExitCode> {
    let (program, settings) = match parse(command(), read_settings) {
        Ok(parsed) => parsed,
        Err(code) => return Ok(code),
    };
    let application = Application::new(settings);
    let root = program.start("application", application.router()).await?;
    let code = program::run(root).await?;
    application.finish_calls().await;
    Ok(code)
}
