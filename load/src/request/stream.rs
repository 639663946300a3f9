//! Reading of a streamed completion.

use super::{ResponseRecord, parse_problem};
use crate::record::{ErrorKind, RequestResult};
use eventsource_stream::Event;
use fulmarhead_lib::{
    clock::SharedClock,
    ids::{Position, Tokens},
    request::EventId,
};
use fulmarhead_runtime::http::EventReader;
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

/// Reads the stream in `body` up to its end and checks that it has `output_tokens` tokens with
/// consecutive positions.
///
/// The result in `record` is left as it is if the stream ends without an end event.
pub(super) async fn read(
    body: Incoming,
    output_tokens: Tokens,
    clock: &SharedClock,
    record: &mut ResponseRecord,
) {
    let mut events = EventReader::new(body);
    let mut next_position: Position = 0;
    while let Some(Ok(event)) = events.next().await {
        if event.event == "error" {
            record.result = parse_problem(event.data.as_bytes());
            return;
        }
        match parse_event(&event) {
            None => return record.result = RequestResult::Error(ErrorKind::Malformed),
            Some((position, _)) if position != next_position => {
                return record.result = RequestResult::Error(ErrorKind::Order);
            }
            Some((_, false)) => {
                record.token_times.push(clock.now());
                next_position += 1;
            }
            Some((length, true)) => return record.result = check_length(length, output_tokens),
        }
    }
}

fn check_length(length: Position, output_tokens: Tokens) -> RequestResult {
    if length == output_tokens {
        RequestResult::Complete
    } else {
        RequestResult::Error(ErrorKind::Order)
    }
}

/// Returns the position of an event and whether it ends the response.
fn parse_event(event: &Event) -> Option<(Position, bool)> {
    let id: EventId = event.id.parse().ok()?;
    let chunk: Chunk = serde_json::from_str(&event.data).ok()?;
    let choice = chunk.choices.into_iter().next()?;
    Some((id.position, choice.finish_reason.is_some()))
}
