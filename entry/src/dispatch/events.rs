//! Events of an agent's answer.

use eventsource_stream::{Event, EventStream};
use fulmarhead_lib::{ids::Position, request::StreamItem};
use futures::StreamExt;
use http_body_util::BodyDataStream;
use hyper::body::Incoming;
use serde::Deserialize;

/// Why a stream can't be read on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum StreamError {
    /// The connection was lost or the text is not UTF-8.
    #[error("stream broke off")]
    Broken,
    /// An event is not of the published form.
    #[error("event can't be parsed")]
    Malformed,
}

/// The stream of one attempt.
pub(super) struct Events(EventStream<BodyDataStream<Incoming>>);

#[derive(Debug, Deserialize)]
struct Data {
    choices: Vec<Choice>,
}

#[derive(Debug, Deserialize)]
struct Choice {
    text: String,
    finish_reason: Option<String>,
}

impl Events {
    /// Returns the stream in `body`.
    pub(super) fn new(body: Incoming) -> Self {
        Self(EventStream::new(BodyDataStream::new(body)))
    }

    /// Returns the next item; the end of the body before the end of the answer is an error.
    pub(super) async fn next(&mut self) -> Result<StreamItem, StreamError> {
        match self.0.next().await {
            Some(Ok(event)) => parse(&event),
            Some(Err(_)) | None => Err(StreamError::Broken),
        }
    }
}

fn parse(event: &Event) -> Result<StreamItem, StreamError> {
    let position: Position = event.id.parse().map_err(|_| StreamError::Malformed)?;
    let data: Data = serde_json::from_str(&event.data).map_err(|_| StreamError::Malformed)?;
    let choice = data.choices.into_iter().next().ok_or(StreamError::Malformed)?;
    Ok(match choice.finish_reason {
        Some(finish) => StreamItem::End { length: position, finish },
        None => StreamItem::Token { position, text: choice.text },
    })
}
