//! Program that runs the weight store stand-in.

use clap::{ArgMatches, Command};
use fulmarhead_runtime::{
    clock::SystemClock,
    settings::{SettingErrors, SettingsReader, flag, parse},
};
use standins::{
    program::{self, ProgramSettings},
    weight_store::{WeightSettings, WeightStore},
};
use std::process::ExitCode;

fn command() -> Command {
    program::command("standin-weight-store", "Stand-in for the weight store")
        .arg(
            flag("bytes", "STANDIN_BYTES", "Size of each set of weights, in bytes")
                .default_value("65536"),
        )
        .arg(flag("rate", "STANDIN_RATE", "Reads per second, over all readers").default_value("4"))
        .arg(
            flag("burst", "STANDIN_BURST", "Maximum burst of reads, over all readers")
                .default_value("4"),
        )
}

fn read_settings(matches: &ArgMatches) -> Result<(ProgramSettings, WeightSettings), SettingErrors> {
    let mut reader = SettingsReader::new(matches);
    let program = ProgramSettings::read(&mut reader);
    let bytes = reader.required("bytes");
    let rate = reader.required("rate");
    let burst = reader.required("burst");
    reader.finish_with(|| {
        Some((program?, WeightSettings { bytes: bytes?, rate: rate?, burst: burst? }))
    })
}

#[tokio::main]
async fn main() -> eyre::Result<ExitCode> {
    let (program, settings) = match parse(command(), read_settings) {
        Ok(parsed) => parsed,
        Err(code) => return Ok(code),
    };
    let store = WeightStore::new(settings, SystemClock::shared());
    let root = program.start("weight store", store.router()).await?;
    program::run(root).await
}
