//! The configuration service as a program.

use clap::{ArgMatches, Command};
use eyre::WrapErr;
use fulmarhead_runtime::settings::{Reader, SettingErrors, flag};
use serde::Deserialize;
use standins::{
    config_service::ConfigStore,
    program::{self, Program},
};
use std::{fs, path::PathBuf, process::ExitCode, sync::Arc};

#[derive(Debug, Deserialize)]
struct Revised {
    revision: u64,
}

fn command() -> Command {
    program::command("standin-config-service", "Stands in for the configuration service").arg(flag(
        "document",
        "STANDIN_DOCUMENT",
        "File with the document to publish at the start",
    ))
}

fn read(matches: &ArgMatches) -> Result<(Program, Option<PathBuf>), SettingErrors> {
    let mut reader = Reader::new(matches);
    let program = Program::read(&mut reader);
    let document = reader.optional("document");
    reader.finish_with(|| Some((program?, document)))
}

/// Publishes the document in `path` under the revision that it names.
fn publish(store: &ConfigStore, path: &PathBuf) -> eyre::Result<()> {
    let text = fs::read_to_string(path).wrap_err_with(|| format!("reading {}", path.display()))?;
    let revised: Revised = serde_json::from_str(&text)?;
    store.publish(revised.revision, &text);
    Ok(())
}

#[tokio::main]
async fn main() -> eyre::Result<ExitCode> {
    let (program, document) = match program::parse(command(), read) {
        Ok(parsed) => parsed,
        Err(code) => return Ok(code),
    };
    let store = Arc::new(ConfigStore::default());
    if let Some(path) = document {
        publish(&store, &path)?;
    }
    let root = program.start("configuration service", store.router()).await?;
    program::run(root).await
}
