//! Program `fulmarhead-load`: sends load to a fleet and prints a latency report.

use fulmarhead_load::{Settings, command, plot, run, table};
use fulmarhead_runtime::{clock::SystemClock, settings::parse};
use std::process::ExitCode;

#[tokio::main]
async fn main() -> eyre::Result<ExitCode> {
    let settings = match parse(command(), Settings::read) {
        Ok(settings) => settings,
        Err(code) => return Ok(code),
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
