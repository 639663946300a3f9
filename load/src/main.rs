//! The program `fulmarhead-load`.

use fulmarhead_load::{Settings, command, plot, run, table};
use fulmarhead_runtime::clock::SystemClock;
use std::process::ExitCode;

/// Exit code for invalid settings.
const INVALID_SETTINGS: u8 = 2;

#[tokio::main]
async fn main() -> eyre::Result<ExitCode> {
    let settings = match Settings::read(&command().get_matches()) {
        Ok(settings) => settings,
        Err(errors) => {
            eprintln!("{errors}");
            return Ok(ExitCode::from(INVALID_SETTINGS));
        }
    };
    let report = run(settings.clone(), SystemClock::shared()).await?;
    if settings.json {
        println!("{}", serde_json::to_string_pretty(&report)?);
    } else {
        println!("{}", table(&report));
    }
    if let Some(path) = &settings.plot {
        plot(&report, path)?;
    }
    Ok(ExitCode::SUCCESS)
}
