//! Requests and responses in the format of the OpenAI API.

use crate::dispatch::Prompt;
use fulmarhead_lib::{
    ids::{Position, RequestId, Tokens},
    outcome::{Reason, Refusal},
};
use serde::Deserialize;
use serde_json::{Value, json};
use std::{
    collections::BTreeMap,
    time::{Duration, SystemTime},
};

/// Maximum number of generated tokens for a text completion without `max_tokens`, as in the OpenAI
/// API.
const DEFAULT_MAX_TOKENS: Tokens = 16;

/// Maximum number of generated tokens for a chat completion without `max_tokens` or
/// `max_completion_tokens`.
const DEFAULT_CHAT_TOKENS: Tokens = 1_024;

/// Sampling parameters that are forwarded to the engine. Other unknown parameters are ignored.
const SAMPLING_PARAMETERS: [&str; 8] = [
    "temperature",
    "top_p",
    "seed",
    "stop",
    "presence_penalty",
    "frequency_penalty",
    "logit_bias",
    "response_format",
];

/// Kind of a completion, which determines the format of its request and response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CompletionKind {
    /// Completion of a single prompt, with objects of type `text_completion`.
    Text,
    /// Completion of a list of messages, with objects of type `chat.completion`.
    Chat,
}

/// Metadata that all chunks of one response contain.
#[derive(Clone, Debug)]
pub(crate) struct ResponseMetadata {
    pub(crate) kind: CompletionKind,
    pub(crate) request: RequestId,
    pub(crate) created: SystemTime,
    pub(crate) model: String,
}

/// Body of a request for a text completion.
#[derive(Debug, Deserialize)]
struct TextRequest {
    model: String,
    prompt: TextPrompt,
    max_tokens: Option<Tokens>,
    #[serde(default)]
    stream: bool,
    #[serde(flatten)]
    sampling: BTreeMap<String, Value>,
}

/// A prompt, as a string or as a list that contains one string.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum TextPrompt {
    One(String),
    Many([String; 1]),
}

/// Body of a request for a chat completion.
#[derive(Debug, Deserialize)]
struct ChatRequest {
    model: String,
    messages: Vec<Message>,
    max_tokens: Option<Tokens>,
    max_completion_tokens: Option<Tokens>,
    #[serde(default)]
    stream: bool,
    #[serde(flatten)]
    sampling: BTreeMap<String, Value>,
}

#[derive(Debug, Deserialize)]
struct Message {
    role: String,
    content: Content,
}

/// Content of a message, as a string or as a list of text parts.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum Content {
    Text(String),
    Parts(Vec<ContentPart>),
}

#[derive(Debug, Deserialize)]
struct ContentPart {
    text: String,
}

/// Parses the body of a request and returns the prompt and whether the response is streamed.
///
/// # Errors
///
/// Returns a refusal if the body is malformed or its maximum number of tokens is 0.
pub(crate) fn parse(kind: CompletionKind, body: &[u8]) -> Result<(Prompt, bool), Refusal> {
    let parsed = match kind {
        CompletionKind::Text => parse_text(body),
        CompletionKind::Chat => parse_chat(body),
    };
    let malformed = Refusal::not_run(Reason::MalformedRequest);
    let (mut prompt, stream) = parsed.map_err(|_| malformed)?;
    if prompt.max_tokens == 0 {
        return Err(malformed);
    }
    prompt.sampling.retain(|name, _| SAMPLING_PARAMETERS.contains(&name.as_str()));
    Ok((prompt, stream))
}

fn parse_text(body: &[u8]) -> Result<(Prompt, bool), serde_json::Error> {
    let request: TextRequest = serde_json::from_slice(body)?;
    let text = match request.prompt {
        TextPrompt::One(text) => text,
        TextPrompt::Many([text]) => text,
    };
    let max_tokens = request.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
    let sampling = request.sampling;
    Ok((Prompt { model: request.model, text, max_tokens, sampling }, request.stream))
}

fn parse_chat(body: &[u8]) -> Result<(Prompt, bool), serde_json::Error> {
    let request: ChatRequest = serde_json::from_slice(body)?;
    let text = request.messages.into_iter().map(Message::into_text).collect();
    let max_tokens = request.max_completion_tokens.or(request.max_tokens);
    let max_tokens = max_tokens.unwrap_or(DEFAULT_CHAT_TOKENS);
    let sampling = request.sampling;
    Ok((Prompt { model: request.model, text, max_tokens, sampling }, request.stream))
}

impl Message {
    fn into_text(self) -> String {
        let content = match self.content {
            Content::Text(text) => text,
            Content::Parts(parts) => parts.into_iter().map(|part| part.text).collect(),
        };
        format!("{}: {content}\n", self.role)
    }
}

impl ResponseMetadata {
    /// Returns one chunk of a streamed response.
    pub(crate) fn chunk(&self, text: &str, finish: Option<&str>) -> Value {
        let choice = match (self.kind, finish) {
            (CompletionKind::Text, _) => {
                json!({ "index": 0, "text": text, "finish_reason": finish })
            }
            (CompletionKind::Chat, None) => {
                json!({ "index": 0, "delta": { "content": text }, "finish_reason": null })
            }
            (CompletionKind::Chat, Some(_)) => {
                json!({ "index": 0, "delta": {}, "finish_reason": finish })
            }
        };
        self.document(self.chunk_object(), choice, None)
    }

    /// Returns a complete response with its token usage.
    pub(crate) fn response(
        &self,
        text: &str,
        finish: &str,
        prompt: Tokens,
        length: Position,
    ) -> Value {
        let choice = match self.kind {
            CompletionKind::Text => json!({ "index": 0, "text": text, "finish_reason": finish }),
            CompletionKind::Chat => {
                let message = json!({ "role": "assistant", "content": text });
                json!({ "index": 0, "message": message, "finish_reason": finish })
            }
        };
        let usage = json!({
            "prompt_tokens": prompt,
            "completion_tokens": length,
            "total_tokens": prompt + length,
        });
        self.document(self.response_object(), choice, Some(usage))
    }

    fn document(&self, object: &str, choice: Value, usage: Option<Value>) -> Value {
        let mut document = json!({
            "id": self.id(),
            "object": object,
            "created": self.created_seconds(),
            "model": self.model,
            "choices": [choice],
        });
        if let Some(usage) = usage {
            document["usage"] = usage;
        }
        document
    }

    fn id(&self) -> String {
        match self.kind {
            CompletionKind::Text => format!("cmpl-{}", self.request),
            CompletionKind::Chat => format!("chatcmpl-{}", self.request),
        }
    }

    fn chunk_object(&self) -> &'static str {
        match self.kind {
            CompletionKind::Text => "text_completion",
            CompletionKind::Chat => "chat.completion.chunk",
        }
    }

    fn response_object(&self) -> &'static str {
        match self.kind {
            CompletionKind::Text => "text_completion",
            CompletionKind::Chat => "chat.completion",
        }
    }

    fn created_seconds(&self) -> u64 {
        let since_epoch = self.created.duration_since(SystemTime::UNIX_EPOCH);
        since_epoch.unwrap_or(Duration::ZERO).as_secs()
    }
}
