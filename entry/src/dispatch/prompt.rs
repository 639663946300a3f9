//! The prompt of a caller, with the data that its attempts need.

use fulmarhead_lib::{
    config::Fleet,
    ids::{ModelId, Tokens},
};
use fulmarhead_runtime::http::HeldMemory;
use serde_json::Value;
use std::{collections::BTreeMap, sync::Arc};

/// Prompt and parameters in a caller's request.
#[derive(Clone, Debug)]
pub(crate) struct Prompt {
    pub(crate) model: ModelId,
    pub(crate) text: String,
    pub(crate) max_tokens: Tokens,
    /// Sampling parameters, which are forwarded to the engine unchanged.
    pub(crate) sampling: BTreeMap<String, Value>,
}

/// A prompt with the data that each of its attempts needs.
#[derive(Clone, Debug)]
pub(crate) struct PromptCall {
    pub(crate) prompt: Prompt,
    /// Engine priority of the next attempt; 0 is served first.
    pub(crate) priority: u8,
    /// Whether the caller receives a stream, which it may resume on a new connection.
    pub(crate) streamed: bool,
    pub(crate) fleet: Arc<Fleet>,
    /// Accounts for the memory of the prompt until the request ends.
    #[expect(dead_code, reason = "held for its drop")]
    pub(crate) memory: Arc<HeldMemory>,
}
