//! A model engine as a program.

use clap::{ArgMatches, Command};
use fulmarhead_runtime::settings::{Reader, SettingErrors, flag};
use standins::{
    engine::{Engine, EngineSettings},
    program::{self, Program},
};
use std::{process::ExitCode, time::Duration};

fn command() -> Command {
    program::command("standin-engine", "Stands in for a model engine")
        .arg(
            flag("models", "STANDIN_MODELS", "Models loaded at the start, with commas")
                .default_value("assistant"),
        )
        .arg(flag("kv-total", "STANDIN_KV_TOTAL", "KV cache, in tokens").default_value("450000"))
        .arg(
            flag("prefill-rate", "STANDIN_PREFILL_RATE", "Prefill rate, in tokens a second")
                .default_value("400000"),
        )
        .arg(
            flag("decode-micros", "STANDIN_DECODE_MICROS", "Time for a token of one stream, in µs")
                .default_value("5000"),
        )
}

fn read(matches: &ArgMatches) -> Result<(Program, EngineSettings), SettingErrors> {
    let mut reader = Reader::new(matches);
    let program = Program::read(&mut reader);
    let models = reader.list("models");
    let kv_total = reader.required("kv-total");
    let prefill_rate = reader.required("prefill-rate");
    let decode_micros = reader.required("decode-micros");
    reader.finish_with(|| {
        let settings = EngineSettings {
            models,
            kv_total: kv_total?,
            prefill_rate: prefill_rate?,
            decode_time: Duration::from_micros(decode_micros?),
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
    let engine = Engine::new(settings);
    let root = program.start("engine", engine.router()).await?;
    program::run(root).await
}
