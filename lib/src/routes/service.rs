//! Services, and the performance model of their engines.

use crate::ids::{ServiceId, Tokens};

/// A group of targets that answer the same requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name of the service in the configuration.
    pub id: ServiceId,
    /// Requests a second that a target can accept while it is cold, that is, until it has warmed up
    /// after its start; 0 if targets need no warm-up.
    pub cold_rate: f64,
    /// Performance model of the engines; `None` for an application.
    pub engine: Option<EngineModel>,
}

/// Performance model of an engine with continuous batching, with figures that its operator
/// publishes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineModel {
    /// Maximum number of requests that run at the same time.
    pub slots: u32,
    /// Capacity of the KV cache, in tokens.
    pub kv_capacity: Tokens,
    /// Base duration of one step, in ms.
    pub step_ms: f64,
    /// Time that each decoding request adds to a step, in ms.
    pub sequence_ms: f64,
    /// Time that each 1,000 tokens of context of decoding requests add to a step, in ms.
    pub context_ms: f64,
    /// Prefill rate without the quadratic cost of attention, in tokens per ms.
    pub prefill_rate: f64,
    /// Attention cost of prefill, in ms per million pairs of a prompt token and an earlier one.
    pub attention_ms: f64,
    /// Number of steps in a pass with decoding requests.
    pub stride: u32,
}

impl EngineModel {
    /// Returns the prefill time of a prompt on an idle engine, in ms.
    pub fn prefill_ms(&self, prompt_tokens: Tokens) -> f64 {
        let tokens = prompt_tokens as f64;
        tokens / self.prefill_rate + tokens * tokens / 2.0 / 1e6 * self.attention_ms
    }

    /// Returns the base duration of a pass with decoding requests, in ms.
    pub fn base_pass_ms(&self) -> f64 {
        f64::from(self.stride) * self.step_ms
    }

    /// Returns the duration of a step with `running` decoding requests that have `context` tokens
    /// in total, in ms.
    pub fn decode_step_ms(&self, running: u32, context: Tokens) -> f64 {
        let sequences = f64::from(running) * self.sequence_ms;
        self.step_ms + sequences + context as f64 / 1e3 * self.context_ms
    }
}
