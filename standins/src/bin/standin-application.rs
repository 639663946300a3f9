//! An application worker, or a recorder of effects, as a program.

use clap::{ArgMatches, Command};
use fulmarhead_runtime::settings::{Reader, SettingErrors, flag};
use standins::{
    application::{Application, ApplicationSettings},
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
}

fn read(matches: &ArgMatches) -> Result<(Program, ApplicationSettings), SettingErrors> {
    let mut reader = Reader::new(matches);
    let program = Program::read(&mut reader);
    let recorder = reader.optional("effects");
    let service_micros = reader.required("service-micros");
    let capacity = reader.required("capacity");
    reader.finish_with(|| {
        let settings = ApplicationSettings {
            service_time: Duration::from_micros(service_micros?),
            capacity: capacity?,
            recorder,
        };
        Some((program?, settings))
    })
}

#[tokio::main]
async fn main() -> eyre::Result<ExitCode> {
    let (program, settings) = match program::parse(command(), read) {
        Ok(parsed) => parsed,
        Err(code) => return Ok(code),
    };
    let application = Application::new(settings);
    let root = program.start("application", application.router()).await?;
    program::run(root).await
}
