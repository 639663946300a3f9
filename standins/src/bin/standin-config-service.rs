//! Program that runs the configuration service stand-in.

use clap::{ArgMatches, Command};
use eyre::WrapErr;
use fulmarhead_runtime::{
    clock::SystemClock,
    settings::{SettingErrors, SettingsReader, flag, parse},
};
use standins::{
    config_service::{ConfigSettings, ConfigStore},
    program::{self, ProgramSettings},
};
use std::{fs, path::PathBuf, process::ExitCode, sync::Arc};

#[derive(Debug)]
struct Settings {
    program: ProgramSettings,
    document: Option<PathBuf>,
    limits: ConfigSettings,
}

fn command() -> Command {
    program::command("standin-config-service", "Stand-in for the configuration service")
        .arg(flag("document", "STANDIN_DOCUMENT", "File with the document to publish at startup"))
        .arg(
            flag(
                "calls-per-second",
                "STANDIN_CALLS_PER_SECOND",
                "Rate limit of all readers together, in calls per second",
            )
            .default_value("2000"),
        )
}

fn read_settings(matches: &ArgMatches) -> Result<Settings, SettingErrors> {
    let mut reader = SettingsReader::new(matches);
    let program = ProgramSettings::read(&mut reader);
    let document = reader.optional("document");
    let calls_per_second = reader.required("calls-per-second");
    reader.finish_with(|| {
        let limits = ConfigSettings { calls_per_second: calls_per_second? };
        Some(Settings { program: program?, document, limits })
    })
}

#[tokio::main]
async fn main() -> eyre::Result<ExitCode> {
    let settings = match parse(command(), read_settings) {
        Ok(parsed) => parsed,
        Err(code) => return Ok(code),
    };
    let store = Arc::new(ConfigStore::new(settings.limits, SystemClock::shared()));
    if let Some(path) = settings.document {
        let text = fs::read_to_string(&path)
            .wrap_err_with(|| format!("failed to read document {}", path.display()))?;
        store.publish_document(&text)?;
    }
    let root = settings.program.start("configuration service", store.router()).await?;
    // This child is stopped before the server, so that the server does not wait for the
    // connections of waiting watches.
    let root = root.permanent("watches", move |stop| {
        let store = Arc::clone(&store);
        async move {
            stop.cancelled().await;
            store.close();
            Ok(())
        }
    });
    program::run(root).await
}
