//! Connection that reads a stream as server-sent events.

use crate::engine::{
    EngineError,
    admission::{StreamHandle, StreamPoll},
    shared::Engine,
    stream::PromptUsage,
    text::token,
};
use axum::response::sse::Event;
use fulmarhead_lib::ids::Position;
use futures::{Stream, stream};
use serde_json::json;
use std::{collections::VecDeque, sync::Arc};

/// Reader of a stream. When it is dropped, the stream continues until its reconnect timeout.
pub(super) struct Reader {
    engine: Arc<Engine>,
    handle: StreamHandle,
    from: Position,
    pending: VecDeque<Event>,
    finished: bool,
}

impl Reader {
    /// Returns a reader that starts at position `from`.
    pub(super) fn new(engine: Arc<Engine>, handle: StreamHandle, from: Position) -> Self {
        Self { engine, handle, from, pending: VecDeque::new(), finished: false }
    }

    /// Returns the events of the stream.
    ///
    /// Fails, which aborts the connection, if the engine has removed the stream.
    pub(super) fn into_events(self) -> impl Stream<Item = Result<Event, EngineError>> {
        stream::try_unfold(self, |mut reader| async move {
            let event = reader.next().await?;
            Ok(event.map(|event| (event, reader)))
        })
    }

    async fn next(&mut self) -> Result<Option<Event>, EngineError> {
        while self.pending.is_empty() && !self.finished {
            match self.engine.wait(self.handle, self.from).await? {
                StreamPoll::Tokens(positions) => {
                    self.from = positions.end;
                    let state = self.handle.state;
                    let events = positions.map(|at| token_event(at, &token(state, at)));
                    self.pending.extend(events);
                }
                StreamPoll::End(length) => {
                    self.finished = true;
                    self.pending.push_back(end_event(length, self.handle.prompt));
                    self.pending.push_back(Event::default().data("[DONE]"));
                }
                StreamPoll::Wait(_) => {}
            }
        }
        Ok(self.pending.pop_front())
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        self.engine.change(|state| state.detach(self.handle));
    }
}

fn token_event(position: Position, text: &str) -> Event {
    let choice = json!({ "index": 0, "text": text, "finish_reason": null });
    let data = json!({ "object": "text_completion", "choices": [choice] });
    Event::default().id(position.to_string()).data(data.to_string())
}

/// Returns the last event of a completion, with usage statistics in the published OpenAI form.
fn end_event(length: Position, prompt: PromptUsage) -> Event {
    let choice = json!({ "index": 0, "text": "", "finish_reason": "length" });
    let usage = json!({
        "prompt_tokens": prompt.tokens,
        "completion_tokens": length,
        "total_tokens": prompt.tokens + length,
        "prompt_tokens_details": { "cached_tokens": prompt.cached },
    });
    let data = json!({ "object": "text_completion", "choices": [choice], "usage": usage });
    Event::default().id(length.to_string()).data(data.to_string())
}
