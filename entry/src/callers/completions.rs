//! Handlers of text and chat completions, with streamed or complete responses.

use super::{
    body,
    caller::Caller,
    format::{CompletionKind, ResponseMetadata, parse},
    problem::Problem,
};
use crate::{
    dispatch::{CompletionStream, Prompt, PromptCall},
    entry::Entry,
};
use axum::{
    Json,
    body::Body,
    extract::State,
    http::HeaderMap,
    response::{IntoResponse, Response, Sse, sse::Event},
};
use fulmarhead_lib::{
    cost::Cost,
    ids::{AttemptNumber, Position, RequestId},
    outcome::{Outcome, Reason, Refusal},
    request::{Admitted, Cursor, EventId, Request, StreamItem},
};
use fulmarhead_runtime::http::BodyLimits;
use futures::{Stream, stream};
use log::info;
use std::{convert::Infallible, sync::Arc};

/// Number of times that the bytes of a prompt are held while it is parsed or sent: the body or the
/// message to the agent, the text, and a copy that is encoded.
const PROMPT_COPIES: usize = 3;

/// Number of the first attempt of a request.
const FIRST_ATTEMPT: AttemptNumber = 1;

/// Handles `POST /v1/completions`, which completes a single prompt.
pub(crate) async fn complete(
    State(entry): State<Arc<Entry>>,
    headers: HeaderMap,
    body: Body,
) -> Response {
    respond(entry, CompletionKind::Text, headers, body).await
}

/// Handles `POST /v1/chat/completions`, which answers a list of messages.
pub(crate) async fn chat(
    State(entry): State<Arc<Entry>>,
    headers: HeaderMap,
    body: Body,
) -> Response {
    respond(entry, CompletionKind::Chat, headers, body).await
}

async fn respond(
    entry: Arc<Entry>,
    kind: CompletionKind,
    headers: HeaderMap,
    body: Body,
) -> Response {
    let request = RequestId::now_v7();
    match handle(&entry, kind, request, &headers, body).await {
        Ok(response) => response,
        Err(refusal) => Problem::record(request, refusal).into_response(),
    }
}

/// Parses, admits and dispatches a request, and returns its response once the first item is there.
async fn handle(
    entry: &Arc<Entry>,
    kind: CompletionKind,
    id: RequestId,
    headers: &HeaderMap,
    body: Body,
) -> Result<Response, Refusal> {
    let caller = Caller::from_headers(entry, headers)?;
    let last_event = parse_last_event(headers)?;
    let id = last_event.as_ref().map_or(id, |event| event.request);
    let remaining = caller.deadline.remaining(entry.clock.now());
    let bytes = caller.fleet.bounds.max_body;
    let limits = BodyLimits { bytes, time: remaining, copies: PROMPT_COPIES };
    let (body, memory) = body::read(entry, body, limits).await?.into_parts();
    entry.check_stop(caller.deadline)?;
    let (mut prompt, streamed) = parse(kind, &body)?;
    drop(body);
    // All attempts use the same seed, so that a new attempt continues the text of an earlier one.
    prompt.sampling.entry("seed".to_owned()).or_insert_with(|| sampling_seed(id).into());
    let cost = estimate_cost(&caller, &prompt)?;
    let cursor = match &last_event {
        None => Cursor::new(FIRST_ATTEMPT, 0),
        Some(event) => Cursor::new(event.attempt + 1, event.position + 1),
    };
    let request = admit(entry, &caller, id, cost, cursor)?;
    let metadata = ResponseMetadata {
        kind,
        request: id,
        created: entry.clock.wall(),
        model: prompt.model.clone(),
    };
    let priority = caller.team.priority;
    let fleet = Arc::clone(&caller.fleet);
    let call = PromptCall { prompt, priority, streamed, fleet, memory: Arc::new(memory) };
    let stream_holder = last_event.map(|event| event.target);
    let mut stream = CompletionStream::new(Arc::clone(entry), request, call, stream_holder);
    let first = match stream.next().await {
        Ok(first) => first,
        Err(refusal) => {
            refund_if_not_run(entry, &caller, cost, &refusal);
            return Err(refusal);
        }
    };
    if streamed {
        return Ok(Sse::new(events(stream, metadata, first)).into_response());
    }
    collect_response(stream, metadata, first, cost).await
}

/// Returns the last event that the caller received on an earlier connection, if there was one.
fn parse_last_event(headers: &HeaderMap) -> Result<Option<EventId>, Refusal> {
    let Some(value) = headers.get("last-event-id") else { return Ok(None) };
    let event = value.to_str().ok().and_then(|text| text.parse::<EventId>().ok());
    let event = event.filter(|event| event.position < Position::MAX && event.attempt < u32::MAX);
    event.map(Some).ok_or(Refusal::not_run(Reason::MalformedRequest))
}

/// Returns the sampling seed for a request that does not contain one.
fn sampling_seed(request: RequestId) -> u32 {
    request.as_u64_pair().1 as u32 >> 1
}

/// Returns the estimated cost of a prompt.
///
/// # Errors
///
/// Returns a refusal if the model is not configured, the team may not use it, or the prompt and
/// answer exceed its limit.
fn estimate_cost(caller: &Caller, prompt: &Prompt) -> Result<Cost, Refusal> {
    let model = caller.fleet.models.iter().find(|model| model.id == prompt.model);
    let model = model.ok_or(Refusal::not_run(Reason::UnknownModel))?;
    if !caller.team.models.contains(&model.id) {
        return Err(Refusal::not_run(Reason::ModelNotAllowed));
    }
    let cost = Cost::estimate(prompt.text.len(), prompt.max_tokens);
    if prompt.max_tokens > model.max_tokens || cost.kv_tokens() > model.max_tokens {
        return Err(Refusal::not_run(Reason::PromptTooLong));
    }
    Ok(cost)
}

/// Charges the request to the budget of the team and admits it.
fn admit(
    entry: &Entry,
    caller: &Caller,
    id: RequestId,
    cost: Cost,
    cursor: Cursor,
) -> Result<Request<Admitted>, Refusal> {
    let mut state = entry.state();
    state.team_limiter.try_take(&caller.team.id, caller.budget(), cost, entry.clock.now())?;
    state.retry_budget.deposit();
    let revision = state.config.revision();
    drop(state);
    info!(
        target: "decision", request:% = id, team = caller.team.id,
        prompt_tokens = cost.prompt, output_tokens = cost.output, revision;
        "request admitted"
    );
    let request = Request::new(id, caller.team.id.clone(), cost, caller.deadline);
    Ok(request.admit(cursor, true))
}

/// Refunds the cost of a refused request to the budget of its team, unless it may have run.
fn refund_if_not_run(entry: &Entry, caller: &Caller, cost: Cost, refusal: &Refusal) {
    if refusal.outcome == Outcome::NotRun {
        entry.state().team_limiter.refund(&caller.team.id, caller.budget(), cost.kv_tokens());
    }
}

/// Receives all items and returns them as one JSON response.
async fn collect_response(
    mut stream: CompletionStream,
    metadata: ResponseMetadata,
    first: StreamItem,
    cost: Cost,
) -> Result<Response, Refusal> {
    let mut text = String::new();
    let mut item = first;
    loop {
        match item {
            StreamItem::Token { text: token, .. } => text.push_str(&token),
            StreamItem::End { length, finish, .. } => {
                let document = metadata.response(&text, &finish, cost.prompt, length);
                return Ok(Json(document).into_response());
            }
        }
        item = stream.next().await?;
    }
}

/// Returns the server-sent events of a streamed response.
fn events(
    items: CompletionStream,
    metadata: ResponseMetadata,
    first: StreamItem,
) -> impl Stream<Item = Result<Event, Infallible>> + Send {
    stream::unfold(StreamState::Item(Box::new((items, metadata, first))), |state| async move {
        match state {
            StreamState::Item(current) => {
                let (mut items, metadata, item) = *current;
                let event = event(&metadata, &item).id(items.event_id(&item).to_string());
                let next_state = match item {
                    StreamItem::End { .. } => StreamState::Done,
                    StreamItem::Token { .. } => match items.next().await {
                        Ok(item) => StreamState::Item(Box::new((items, metadata, item))),
                        Err(refusal) => {
                            StreamState::Failed(Problem { request: metadata.request, refusal })
                        }
                    },
                };
                Some((Ok(event), next_state))
            }
            StreamState::Done => Some((Ok(Event::default().data("[DONE]")), StreamState::Closed)),
            StreamState::Failed(problem) => {
                let data = problem.document().to_string();
                Some((Ok(Event::default().event("error").data(data)), StreamState::Closed))
            }
            StreamState::Closed => None,
        }
    })
}

/// State of a stream of events.
enum StreamState {
    /// The item is sent next.
    Item(Box<(CompletionStream, ResponseMetadata, StreamItem)>),
    /// The error event is sent next.
    Failed(Problem),
    /// The final `[DONE]` event is sent next.
    Done,
    /// All events have been sent.
    Closed,
}

fn event(metadata: &ResponseMetadata, item: &StreamItem) -> Event {
    match item {
        StreamItem::Token { text, .. } => {
            Event::default().data(metadata.chunk(text, None).to_string())
        }
        StreamItem::End { finish, .. } => {
            Event::default().data(metadata.chunk("", Some(finish)).to_string())
        }
    }
}
