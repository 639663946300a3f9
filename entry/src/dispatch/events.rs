//! Server-sent events in the response of an agent, parsed into stream items.

use eventsource_stream::Event;
use fulmarhead_lib::{
    ids::{Position, Tokens},
    request::StreamItem,
};
use fulmarhead_runtime::http::EventReader;
use hyper::body::Incoming;
use serde::Deserialize;

/// Reasons why the next item of a stream can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum StreamError {
    /// The connection was lost, the body ended early, its text is not UTF-8, or an event is too
    /// large.
    #[error("stream broke off")]
    Interrupted,
    /// An event has no position or does not contain a completion chunk.
    #[error("event can't be parsed")]
    Malformed,
}

/// The items in the response body of one attempt.
pub(super) struct ItemStream(EventReader);

#[derive(Debug, Deserialize)]
struct EventData {
    choices: Vec<Choice>,
    usage: Option<Usage>,
}

/// The part of the usage statistics that the entry reads.
#[derive(Debug, Deserialize)]
struct Usage {
    prompt_tokens_details: Option<PromptDetails>,
}

#[derive(Debug, Deserialize)]
struct PromptDetails {
    cached_tokens: Option<Tokens>,
}

#[derive(Debug, Deserialize)]
struct Choice {
    text: String,
    finish_reason: Option<String>,
}

impl ItemStream {
    /// Returns the items of the events in `body`.
    pub(super) fn new(body: Incoming) -> Self {
        Self(EventReader::new(body))
    }

    /// Returns the next item.
    ///
    /// # Errors
    ///
    /// Returns an error if the body ends before another event or the event can't be parsed.
    pub(super) async fn next(&mut self) -> Result<StreamItem, StreamError> {
        match self.0.next().await {
            Some(Ok(event)) => parse(&event),
            Some(Err(_)) | None => Err(StreamError::Interrupted),
        }
    }
}

fn parse(event: &Event) -> Result<StreamItem, StreamError> {
    let position: Position = event.id.parse().map_err(|_| StreamError::Malformed)?;
    let data: EventData = serde_json::from_str(&event.data).map_err(|_| StreamError::Malformed)?;
    let details = data.usage.and_then(|usage| usage.prompt_tokens_details);
    let cached = details.and_then(|details| details.cached_tokens);
    let choice = data.choices.into_iter().next().ok_or(StreamError::Malformed)?;
    Ok(match choice.finish_reason {
        Some(finish) => StreamItem::End { length: position, finish, cached },
        None => StreamItem::Token { position, text: choice.text },
    })
}
