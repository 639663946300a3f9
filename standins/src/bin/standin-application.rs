//! An application worker, or a recorder of effects, as a program.

use clap::{ArgMatches, Command};
use fulmarhead_runtime::settings::{SettingErrors, SettingsReader, flag, parse};
use standins::{
    application::{Application, ApplicationSettings},
    cold::ColdSettings,
    program::{self, Program},
};
use std::{process::ExitCode, time::Duration};

fn command() -> Command {
    program::command("standin-application", "Stands in for an application worker or a recorder")
        .arg(flag(
            "effects",
            "STANDIN_EFFECTS",
            "Recorder that outlives the worker; if none is set, the worker keeps its effects",
        ))
        .arg(
            flag("service-micros", "STANDIN_SERVICE_MICROS", "Time for one call, in µs")
                .default_value("10000"),
        )
        .arg(flag("capacity", "STANDIN_CAPACITY", "Calls at once").default_value("64"))
        .arg(
            flag("cold", "STANDIN_COLD", "Whether the worker is cold at its start")
                .default_value("false"),
        )
        .arg(
            flag("cold-capacity", "STANDIN_COLD_CAPACITY", "Calls that a cold worker carries")
                .default_value("8"),
        )
}

fn read(matches: &ArgMatches) -> Result<(Program, ApplicationSettings), SettingErrors> {
    let mut reader = SettingsReader::new(matches);
    let program = Program::read(&mut reader);
    let recorder = reader.optional("effects");
    let service_micros = reader.required("service-micros");
    let capacity = reader.required("capacity");
    let at_start = reader.required("cold");
    let cold_capacity = reader.required("cold-capacity");
    reader.finish_with(|| {
        let cold = ColdSettings {
            at_start: at_start?,
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
    let (program, settings) = match parse(command(), read) {
        Ok(parsed) => parsed,
        Err(code) => return Ok(code),
    };
    let application = Application::new(settings);
    let root = program.start("application", application.router()).await?;
    let code = program::run(root).await?;
    application.finish().await;
    Ok(code)
}
