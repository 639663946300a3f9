//! Services and the published figures of their model engines.

use crate::ids::{ServiceId, Tokens};

/// A service: targets that answer the same requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub id: ServiceId,
    /// Requests a second that a cold target takes; 0 if the service has no cold targets.
    pub cold_rate: f64,
    /// Figures of the model engine; none for an application.
    pub engine: Option<EngineModel>,
}

/// Figures of a model engine with continuous batching, as its operator publishes them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineModel {
    /// Requests that run at once.
    pub slots: u32,
    /// Memory for KV cache, in tokens.
    pub memory: Tokens,
    /// Time of one step, in ms.
    pub step_ms: f64,
    /// Time that each request that is generating adds to a step, in ms.
    pub sequence_ms: f64,
    /// Time that 1,000 tokens of context of such a request add to a step, in ms.
    pub context_ms: f64,
    /// Prompt tokens that are read in one ms.
    pub prefill_rate: f64,
    /// Time for a million pairs of a prompt token and an earlier one, in ms.
    pub attention_ms: f64,
    /// Steps of a pass in which a request is generating.
    pub stride: u32,
}

impl EngineModel {
    /// Returns the time to read a prompt on an idle engine, in ms.
    pub fn prefill_ms(&self, prompt_tokens: Tokens) -> f64 {
        let tokens = prompt_tokens as f64;
        tokens / self.prefill_rate + tokens * tokens / 2.0 / 1e6 * self.attention_ms
    }

    /// Returns the time of a pass with one request that generates, in ms.
    pub fn pass_ms(&self) -> f64 {
        f64::from(self.stride) * self.step_ms
    }

    /// Returns the time of a step with `running` requests that generate after `context` tokens
    /// in sum, in ms.
    pub fn step_time(&self, running: u32, context: Tokens) -> f64 {
        let sequences = f64::from(running) * self.sequence_ms;
        self.step_ms + sequences + context as f64 / 1e3 * self.context_ms
    }
}
