//! Server-sent events of a response, each of limited size.

use bytes::Bytes;
use eventsource_stream::{Event, EventStream, EventStreamError};
use futures::{Stream, StreamExt};
use http_body_util::BodyDataStream;
use hyper::body::Incoming;
use std::{
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll, ready},
};

/// Maximum size, in bytes, of an event with the comments before it. An event of a completion has one
/// token.
const MAX_EVENT_BYTES: usize = 16 << 10;

/// Maximum number of bytes of one read, which may hold many events.
const MAX_READ_BYTES: usize = 16 << 10;

/// Reasons why the next event can't be read.
#[derive(Debug, thiserror::Error)]
pub enum EventReadError {
    /// The connection failed, or its bytes are no text in UTF-8.
    #[error("stream broke off")]
    Interrupted,
    /// The event is too large, or never ends.
    #[error("event is larger than {MAX_EVENT_BYTES} bytes")]
    TooLarge,
}

/// Reads the events of a response one by one.
pub struct EventReader {
    events: EventStream<CountedBody>,
    /// Number of bytes received since the last event.
    received: Arc<AtomicUsize>,
}

/// Body that fails after too many bytes without an event.
struct CountedBody {
    body: BodyDataStream<Incoming>,
    received: Arc<AtomicUsize>,
}

impl Stream for CountedBody {
    type Item = Result<Bytes, EventReadError>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let Some(data) = ready!(self.body.poll_next_unpin(context)) else {
            return Poll::Ready(None);
        };
        let Ok(data) = data else { return Poll::Ready(Some(Err(EventReadError::Interrupted))) };
        let before = self.received.fetch_add(data.len(), Ordering::Relaxed);
        Poll::Ready(Some(match before + data.len() > MAX_EVENT_BYTES + MAX_READ_BYTES {
            true => Err(EventReadError::TooLarge),
            false => Ok(data),
        }))
    }
}

impl EventReader {
    /// Returns the events in `body`.
    pub fn new(body: Incoming) -> Self {
        let received = Arc::new(AtomicUsize::new(0));
        let body = CountedBody { body: BodyDataStream::new(body), received: Arc::clone(&received) };
        Self { events: EventStream::new(body), received }
    }

    /// Returns the next event, or `None` at the end of the response.
    ///
    /// # Errors
    ///
    /// Returns an error if the response ends early, or does not consist of events.
    pub async fn next(&mut self) -> Option<Result<Event, EventReadError>> {
        let event = self.events.next().await?;
        self.received.store(0, Ordering::Relaxed);
        Some(event.map_err(|error| match error {
            EventStreamError::Transport(error) => error,
            _ => EventReadError::Interrupted,
        }))
    }
}
