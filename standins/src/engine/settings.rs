//! Abilities, slopes and faults of an engine.

use crate::cold::ColdSettings;
use fulmarhead_lib::ids::{ModelId, Tokens};
use std::{net::SocketAddr, time::Duration};

/// Abilities, slopes and faults of an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSettings {
    /// Models that are loaded at the start.
    pub models: Vec<ModelId>,
    /// Version of the models that are loaded at the start.
    pub version: String,
    /// KV cache, in tokens.
    pub kv_total: Tokens,
    /// Largest part of the KV cache that keeps prefixes of finished prompts, in tokens.
    pub cache_total: Tokens,
    /// Prefill rate, in tokens a second.
    pub prefill_rate: Tokens,
    /// Tokens of one prompt that are prefilled before another prompt may go first.
    pub chunk: Tokens,
    /// Time for one token of an otherwise empty batch.
    pub decode_time: Duration,
    /// Time that each further stream of the batch adds to one token.
    pub decode_slope: Duration,
    /// Requests that the engine carries when it is warm; it refuses more.
    pub max_requests: usize,
    /// How long a stream without a connection goes on.
    pub hold: Duration,
    /// Time until a cache event shows.
    pub event_delay: Duration,
    /// Share of cache events that never show, from 0 to 1.
    pub event_loss: f64,
    /// Age of the figures that the engine reports.
    pub load_lag: Duration,
    /// Whether orders with an old fencing number are carried out.
    pub ignore_fencing: bool,
    /// Time to load a model or adapter once its weights are here.
    pub load_time: Duration,
    /// Weight store; without one the weights are always here.
    pub weight_store: Option<SocketAddr>,
    /// Cold start.
    pub cold: ColdSettings,
    /// How long the engine is away when it restarts.
    pub restart_time: Duration,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            models: vec!["assistant".to_owned()],
            version: "1".to_owned(),
            kv_total: 450_000,
            cache_total: 150_000,
            prefill_rate: 400_000,
            chunk: 4_096,
            decode_time: Duration::from_millis(5),
            decode_slope: Duration::from_micros(50),
            max_requests: 256,
            hold: Duration::from_secs(2),
            event_delay: Duration::from_millis(200),
            event_loss: 0.01,
            load_lag: Duration::from_millis(100),
            ignore_fencing: false,
            load_time: Duration::from_secs(1),
            weight_store: None,
            cold: ColdSettings::default(),
            restart_time: Duration::from_millis(500),
        }
    }
}

impl EngineSettings {
    /// Returns how long the prefill of `tokens` takes.
    pub(super) fn prefill_time(&self, tokens: Tokens) -> Duration {
        Duration::from_secs_f64(tokens as f64 / self.prefill_rate.max(1) as f64)
    }

    /// Returns the time for one token of each of `streams` streams.
    pub(super) fn step_time(&self, streams: usize) -> Duration {
        self.decode_time + self.decode_slope * streams.saturating_sub(1) as u32
    }
}
