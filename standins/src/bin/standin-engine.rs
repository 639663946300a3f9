//! Program that runs the model engine stand-in.

use clap::{ArgMatches, Command};
use fulmarhead_runtime::settings::{SettingErrors, SettingsReader, flag, parse};
use standins::{
    cold::ColdSettings,
    engine::{Engine, EngineSettings, download_weights},
    program::{self, ProgramSettings},
};
use std::{num::NonZeroU64, process::ExitCode, sync::Arc, time::Duration};

/// Flag, environment variable, default value and help text of each setting that has a default.
const FLAGS: [(&str, &str, &str, &str); 20] = [
    ("models", "STANDIN_MODELS", "assistant", "Models loaded at startup, separated by commas"),
    ("model-version", "STANDIN_MODEL_VERSION", "1", "Version of these models"),
    ("kv-total", "STANDIN_KV_TOTAL", "450000", "Size of the KV cache, in tokens"),
    ("cache-total", "STANDIN_CACHE_TOTAL", "150000", "Maximum size of the prefix cache, in tokens"),
    ("prefill-rate", "STANDIN_PREFILL_RATE", "400000", "Prefill rate, in tokens per second"),
    ("chunk", "STANDIN_CHUNK", "4096", "Size of a prefill chunk, in tokens"),
    (
        "decode-micros",
        "STANDIN_DECODE_MICROS",
        "5000",
        "Duration of a decode step with one stream, in µs",
    ),
    (
        "slope-micros",
        "STANDIN_SLOPE_MICROS",
        "50",
        "Time that each further stream adds to it, in µs",
    ),
    ("max-requests", "STANDIN_MAX_REQUESTS", "256", "Maximum number of concurrent requests"),
    ("hold-ms", "STANDIN_HOLD_MS", "2000", "How long a stream is kept without a connection, in ms"),
    (
        "event-delay-ms",
        "STANDIN_EVENT_DELAY_MS",
        "200",
        "Delay until a cache event is published, in ms",
    ),
    ("event-loss", "STANDIN_EVENT_LOSS", "0.01", "Share of lost cache events, from 0 to 1"),
    ("load-lag-ms", "STANDIN_LOAD_LAG_MS", "100", "Age of the reported load, in ms"),
    (
        "ignore-fencing",
        "STANDIN_IGNORE_FENCING",
        "false",
        "Whether outdated fencing tokens are accepted",
    ),
    ("load-ms", "STANDIN_LOAD_MS", "1000", "Time to load a model or adapter, in ms"),
    ("cold", "STANDIN_COLD", "false", "Whether the engine starts cold"),
    (
        "cold-capacity",
        "STANDIN_COLD_CAPACITY",
        "8",
        "Maximum number of concurrent requests of a cold engine",
    ),
    ("cold-growth", "STANDIN_COLD_GROWTH", "2", "Capacity gained per finished request"),
    ("warm-after", "STANDIN_WARM_AFTER", "24", "Finished requests until the engine is warm"),
    ("restart-ms", "STANDIN_RESTART_MS", "500", "How long a restart takes, in ms"),
];

fn command() -> Command {
    let command = program::command("standin-engine", "Stand-in for a model engine")
        .arg(flag("weights", "STANDIN_WEIGHTS", "Address of the weight store"))
        .arg(flag(
            "crash-text",
            "STANDIN_CRASH_TEXT",
            "Text of prompts at which the engine restarts",
        ));
    FLAGS.into_iter().fold(command, |command, (name, variable, default, help)| {
        command.arg(flag(name, variable, help).default_value(default))
    })
}

fn read_settings(matches: &ArgMatches) -> Result<(ProgramSettings, EngineSettings), SettingErrors> {
    let mut reader = SettingsReader::new(matches);
    let program = ProgramSettings::read(&mut reader);
    let settings = read_engine(&mut reader);
    reader.finish_with(|| Some((program?, settings?)))
}

fn read_engine(reader: &mut SettingsReader<'_>) -> Option<EngineSettings> {
    let models = reader.list("models");
    let version = reader.required("model-version");
    let kv_total = reader.required("kv-total");
    let cache_total = reader.required("cache-total");
    let prefill_rate = reader.required::<NonZeroU64>("prefill-rate");
    let prefill_chunk = reader.required::<NonZeroU64>("chunk");
    let decode_time = micros(reader, "decode-micros");
    let decode_slope = micros(reader, "slope-micros");
    let max_requests = reader.required("max-requests");
    let reconnect_timeout = millis(reader, "hold-ms");
    let event_delay = millis(reader, "event-delay-ms");
    let event_loss = reader.required("event-loss");
    let load_lag = millis(reader, "load-lag-ms");
    let ignore_fencing = reader.required("ignore-fencing");
    let load_time = millis(reader, "load-ms");
    let weight_store = reader.optional("weights");
    let cold = read_cold(reader);
    let restart_time = millis(reader, "restart-ms");
    let crash_text = reader.optional("crash-text");
    Some(EngineSettings {
        models,
        version: version?,
        kv_total: kv_total?,
        cache_total: cache_total?,
        prefill_rate: prefill_rate?.get(),
        prefill_chunk: prefill_chunk?.get(),
        decode_time: decode_time?,
        decode_slope: decode_slope?,
        max_requests: max_requests?,
        reconnect_timeout: reconnect_timeout?,
        event_delay: event_delay?,
        event_loss: event_loss?,
        load_lag: load_lag?,
        ignore_fencing: ignore_fencing?,
        load_time: load_time?,
        weight_store,
        cold: cold?,
        restart_time: restart_time?,
        crash_text,
    })
}

fn read_cold(reader: &mut SettingsReader<'_>) -> Option<ColdSettings> {
    let starts_cold = reader.required("cold");
    let capacity = reader.required("cold-capacity");
    let growth = reader.required("cold-growth");
    let warm_after = reader.required("warm-after");
    Some(ColdSettings {
        starts_cold: starts_cold?,
        capacity: capacity?,
        growth: growth?,
        warm_after: warm_after?,
    })
}

fn micros(reader: &mut SettingsReader<'_>, flag: &'static str) -> Option<Duration> {
    reader.required(flag).map(Duration::from_micros)
}

fn millis(reader: &mut SettingsReader<'_>, flag: &'static str) -> Option<Duration> {
    reader.required(flag).map(Duration::from_millis)
}

#[tokio::main]
async fn main() -> eyre::Result<ExitCode> {
    let (program, settings) = match parse(command(), read_settings) {
        Ok(parsed) => parsed,
        Err(code) => return Ok(code),
    };
    let weight_store = settings.weight_store;
    let engine = Engine::new(settings);
    let mut root = program.start("engine", engine.router()).await?;
    if let Some(address) = weight_store {
        root = root
            .permanent("weights", move |stop| download_weights(Arc::clone(&engine), address, stop));
    }
    program::run(root).await
}
