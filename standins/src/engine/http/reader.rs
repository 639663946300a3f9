//! One connection that reads a stream.

use crate::engine::{
    EngineError,
    admit::{Place, Poll},
    shared::Engine,
    text::token,
};
use axum::response::sse::Event;
use fulmarhead_lib::ids::Position;
use futures::{Stream, stream};
use serde_json::json;
use std::{collections::VecDeque, sync::Arc};

/// A connection that reads a stream; the stream goes on for its hold time without it.
pub(super) struct Reader {
    engine: Arc<Engine>,
    place: Place,
    from: Position,
    ready: VecDeque<Event>,
    ended: bool,
}

impl Reader {
    /// Returns a reader that begins at position `from`.
    pub(super) fn new(engine: Arc<Engine>, place: Place, from: Position) -> Self {
        Self { engine, place, from, ready: VecDeque::new(), ended: false }
    }

    /// Returns the events of the stream; it fails, and so breaks the connection, if the engine
    /// no longer has the stream.
    pub(super) fn into_events(self) -> impl Stream<Item = Result<Event, EngineError>> {
        stream::try_unfold(self, |mut reader| async move {
            let event = reader.next().await?;
            Ok(event.map(|event| (event, reader)))
        })
    }

    async fn next(&mut self) -> Result<Option<Event>, EngineError> {
        while self.ready.is_empty() && !self.ended {
            match self.engine.wait(self.place, self.from).await? {
                Poll::Tokens(positions) => {
                    self.from = positions.end;
                    let state = self.place.state;
                    let events = positions.map(|at| item(at, &token(state, at), None));
                    self.ready.extend(events);
                }
                Poll::End(length) => {
                    self.ended = true;
                    self.ready.push_back(item(length, "", Some("length")));
                    self.ready.push_back(Event::default().data("[DONE]"));
                }
                Poll::Wait(_) => {}
            }
        }
        Ok(self.ready.pop_front())
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        self.engine.change(|core| core.detach(self.place));
    }
}

fn item(position: Position, text: &str, finish: Option<&str>) -> Event {
    let choice = json!({ "index": 0, "text": text, "finish_reason": finish });
    let data = json!({ "object": "text_completion", "choices": [choice] });
    Event::default().id(position.to_string()).data(data.to_string())
}
