//! Reads a streamed completion.

use super::{Seen, parse_problem};
use crate::record::{Ending, ErrorKind};
use eventsource_stream::{Event, EventStream};
use fulmarhead_lib::{
    clock::SharedClock,
    ids::{Position, Tokens},
    request::EventId,
};
use futures::StreamExt;
use http_body_util::BodyDataStream;
use hyper::body::Incoming;
use serde::Deserialize;

#[derive(Debug, Deserialize)]
struct Chunk {
    choices: Vec<Choice>,
}

#[derive(Debug, Deserialize)]
struct Choice {
    finish_reason: Option<String>,
}

/// Reads the stream in `body` to its end and checks the positions of its `output` tokens.
pub(super) async fn read(body: Incoming, output: Tokens, clock: &SharedClock, seen: &mut Seen) {
    let mut events = EventStream::new(BodyDataStream::new(body));
    let mut next: Position = 0;
    while let Some(Ok(event)) = events.next().await {
        if event.event == "error" {
            seen.ending = parse_problem(event.data.as_bytes());
            return;
        }
        match parse(&event) {
            None => return seen.ending = Ending::Error(ErrorKind::Malformed),
            Some((position, _)) if position != next => {
                return seen.ending = Ending::Error(ErrorKind::Order);
            }
            Some((_, false)) => {
                seen.tokens.push(clock.now());
                next += 1;
            }
            Some((length, true)) => return seen.ending = whole(length, output),
        }
    }
}

fn whole(length: Position, output: Tokens) -> Ending {
    if length == output { Ending::Complete } else { Ending::Error(ErrorKind::Order) }
}

/// Returns the position of an event and whether it ends the answer.
fn parse(event: &Event) -> Option<(Position, bool)> {
    let id: EventId = event.id.parse().ok()?;
    let chunk: Chunk = serde_json::from_str(&event.data).ok()?;
    let choice = chunk.choices.into_iter().next()?;
    Some((id.position, choice.finish_reason.is_some()))
}
