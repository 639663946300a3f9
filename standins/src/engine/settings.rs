//! Performance model, limits and injected faults of an engine.

use crate::cold::ColdSettings;
use fulmarhead_lib::ids::{ModelId, Tokens};
use std::{net::SocketAddr, time::Duration};

/// Performance model, limits and injected faults of an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSettings {
    /// Models that are loaded at the start.
    pub models: Vec<ModelId>,
    /// Version of the models that are loaded at the start.
    pub version: String,
    /// Size of the KV cache, in tokens.
    pub kv_total: Tokens,
    /// Maximum part of the KV cache that holds cached prefixes, in tokens.
    pub cache_total: Tokens,
    /// Prefill rate, in tokens per second.
    pub prefill_rate: Tokens,
    /// Size of a prefill chunk, in tokens; the prompt with the best priority gets the next chunk.
    pub prefill_chunk: Tokens,
    /// Duration of a decode step with one stream.
    pub decode_time: Duration,
    /// Time that each further stream adds to a decode step.
    pub decode_slope: Duration,
    /// Maximum number of concurrent requests; further requests are refused.
    pub max_requests: usize,
    /// How long a stream is kept without a connection before it is cancelled.
    pub reconnect_timeout: Duration,
    /// Delay until a cache event is published.
    pub event_delay: Duration,
    /// Share of cache events that are lost, from 0 to 1.
    pub event_loss: f64,
    /// Age of the load figures that the engine reports.
    pub load_lag: Duration,
    /// Whether orders with an outdated fencing token are executed, as an injected fault.
    pub ignore_fencing: bool,
    /// Time to load a model or adapter once its weights are available.
    pub load_time: Duration,
    /// Address of the weight store; if there is none, weights are always available.
    pub weight_store: Option<SocketAddr>,
    /// Capacity of the engine while it is cold.
    pub cold: ColdSettings,
    /// How long the engine is unavailable when it restarts.
    pub restart_time: Duration,
    /// Text of prompts at which the engine restarts, as an injected fault.
    pub crash_text: Option<String>,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            models: vec!["assistant".to_owned()],
            version: "1".to_owned(),
            kv_total: 450_000,
            cache_total: 150_000,
            prefill_rate: 400_000,
            prefill_chunk: 4_096,
            decode_time: Duration::from_millis(5),
            decode_slope: Duration::from_micros(50),
            max_requests: 256,
            reconnect_timeout: Duration::from_secs(2),
            event_delay: Duration::from_millis(200),
            event_loss: 0.01,
            load_lag: Duration::from_millis(100),
            ignore_fencing: false,
            load_time: Duration::from_secs(1),
            weight_store: None,
            cold: ColdSettings::default(),
            restart_time: Duration::from_millis(500),
            crash_text: None,
        }
    }
}

impl EngineSettings {
    /// Returns whether the engine restarts at `prompt`.
    pub(super) fn crashes_at(&self, prompt: &str) -> bool {
        self.crash_text.as_ref().is_some_and(|text| prompt.contains(text))
    }

    /// Returns the duration of the prefill of `tokens` tokens.
    pub(super) fn prefill_time(&self, tokens: Tokens) -> Duration {
        Duration::from_secs_f64(tokens as f64 / self.prefill_rate.max(1) as f64)
    }

    /// Returns the duration of a decode step with `streams` streams.
    pub(super) fn step_time(&self, streams: usize) -> Duration {
        self.decode_time + self.decode_slope * streams.saturating_sub(1) as u32
    }
}
