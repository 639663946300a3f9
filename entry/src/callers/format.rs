//! The published OpenAI form of requests and answers.

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

/// Tokens to generate when a caller names no number, as the published interface has it.
const DEFAULT_MAX_TOKENS: Tokens = 16;

/// Tokens to generate in a chat when a caller names no number.
const DEFAULT_CHAT_TOKENS: Tokens = 1_024;

/// Parameters that are passed on to the engine; the others don't change what it generates.
const SAMPLING: [&str; 8] = [
    "temperature",
    "top_p",
    "seed",
    "stop",
    "presence_penalty",
    "frequency_penalty",
    "logit_bias",
    "response_format",
];

/// Form of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Style {
    /// `text_completion`
    Text,
    /// `chat.completion`
    Chat,
}

/// Names that every part of one answer repeats.
#[derive(Clone, Debug)]
pub(crate) struct Header {
    pub(crate) style: Style,
    pub(crate) request: RequestId,
    pub(crate) created: SystemTime,
    pub(crate) model: String,
}

/// Request parameters that fulmarhead reads.
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

#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum TextPrompt {
    One(String),
    Many([String; 1]),
}

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

/// Parses the body of a request; returns the prompt and whether to stream the answer.
pub(crate) fn parse(style: Style, body: &[u8]) -> Result<(Prompt, bool), Refusal> {
    let parsed = match style {
        Style::Text => parse_text(body),
        Style::Chat => parse_chat(body),
    };
    let malformed = Refusal::not_run(Reason::MalformedRequest);
    let (mut prompt, stream) = parsed.map_err(|_| malformed)?;
    if prompt.max_tokens == 0 {
        return Err(malformed);
    }
    prompt.sampling.retain(|name, _| SAMPLING.contains(&name.as_str()));
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

impl Header {
    /// Returns one part of a streamed answer.
    pub(crate) fn chunk(&self, text: &str, finish: Option<&str>) -> Value {
        let choice = match (self.style, finish) {
            (Style::Text, _) => json!({ "index": 0, "text": text, "finish_reason": finish }),
            (Style::Chat, None) => {
                json!({ "index": 0, "delta": { "content": text }, "finish_reason": null })
            }
            (Style::Chat, Some(_)) => json!({ "index": 0, "delta": {}, "finish_reason": finish }),
        };
        self.document(self.chunk_object(), choice, None)
    }

    /// Returns a whole answer.
    pub(crate) fn whole(
        &self,
        text: &str,
        finish: &str,
        prompt: Tokens,
        length: Position,
    ) -> Value {
        let choice = match self.style {
            Style::Text => json!({ "index": 0, "text": text, "finish_reason": finish }),
            Style::Chat => {
                let message = json!({ "role": "assistant", "content": text });
                json!({ "index": 0, "message": message, "finish_reason": finish })
            }
        };
        let usage = json!({
            "prompt_tokens": prompt,
            "completion_tokens": length,
            "total_tokens": prompt + length,
        });
        self.document(self.whole_object(), choice, Some(usage))
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
        match self.style {
            Style::Text => format!("cmpl-{}", self.request),
            Style::Chat => format!("chatcmpl-{}", self.request),
        }
    }

    fn chunk_object(&self) -> &'static str {
        match self.style {
            Style::Text => "text_completion",
            Style::Chat => "chat.completion.chunk",
        }
    }

    fn whole_object(&self) -> &'static str {
        match self.style {
            Style::Text => "text_completion",
            Style::Chat => "chat.completion",
        }
    }

    fn created_seconds(&self) -> u64 {
        let since = self.created.duration_since(SystemTime::UNIX_EPOCH);
        since.unwrap_or(Duration::ZERO).as_secs()
    }
}
