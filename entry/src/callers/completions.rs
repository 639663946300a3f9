//! Completions, streamed or whole.

use super::{
    body,
    caller::Caller,
    format::{Header, Style, parse},
    problem::Problem,
};
use crate::{
    dispatch::{Answer, Prompt, PromptCall},
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
use futures::{Stream, stream};
use log::info;
use std::{convert::Infallible, sync::Arc};

/// Number of the first attempt of a request.
const FIRST_ATTEMPT: AttemptNumber = 1;

/// Answers `POST /v1/completions`.
pub(crate) async fn complete(
    State(entry): State<Arc<Entry>>,
    headers: HeaderMap,
    body: Body,
) -> Response {
    answer(entry, Style::Text, headers, body).await
}

/// Answers `POST /v1/chat/completions`.
pub(crate) async fn chat(
    State(entry): State<Arc<Entry>>,
    headers: HeaderMap,
    body: Body,
) -> Response {
    answer(entry, Style::Chat, headers, body).await
}

async fn answer(entry: Arc<Entry>, style: Style, headers: HeaderMap, body: Body) -> Response {
    let request = RequestId::now_v7();
    match start(&entry, style, request, &headers, body).await {
        Ok(response) => response,
        Err(refusal) => Problem::refuse(request, refusal).into_response(),
    }
}

/// Reads, admits and dispatches a request; returns once its first item is here.
async fn start(
    entry: &Arc<Entry>,
    style: Style,
    id: RequestId,
    headers: &HeaderMap,
    body: Body,
) -> Result<Response, Refusal> {
    let caller = Caller::identify(entry, headers)?;
    let seen = last_event(headers)?;
    let id = seen.as_ref().map_or(id, |seen| seen.request);
    let remaining = caller.deadline.remaining(entry.clock.now());
    let body = body::read(body, caller.fleet.bounds.max_body, remaining).await?;
    let (mut prompt, streamed) = parse(style, &body)?;
    // With one seed for all attempts a new attempt goes on with the text of the earlier one.
    prompt.sampling.entry("seed".to_owned()).or_insert_with(|| seed(id).into());
    let cost = check(&caller, &prompt)?;
    let cursor = match &seen {
        None => Cursor::new(FIRST_ATTEMPT, 0),
        Some(seen) => Cursor::new(seen.attempt + 1, seen.position + 1),
    };
    let request = admit(entry, &caller, id, cost, cursor)?;
    let header =
        Header { style, request: id, created: entry.clock.wall(), model: prompt.model.clone() };
    let priority = caller.team.priority;
    let fleet = Arc::clone(&caller.fleet);
    let call = PromptCall { prompt, priority, streamed, fleet };
    let holder = seen.map(|seen| seen.target);
    let mut answer = Answer::new(Arc::clone(entry), request, call, holder);
    let first = match answer.next().await {
        Ok(first) => first,
        Err(refusal) => {
            refund(entry, &caller, cost, &refusal);
            return Err(refusal);
        }
    };
    if streamed {
        return Ok(Sse::new(events(answer, header, first)).into_response());
    }
    whole(answer, header, first, cost).await
}

/// Returns the last event that the caller has seen on an earlier connection.
fn last_event(headers: &HeaderMap) -> Result<Option<EventId>, Refusal> {
    let Some(value) = headers.get("last-event-id") else { return Ok(None) };
    let seen = value.to_str().ok().and_then(|text| text.parse::<EventId>().ok());
    let seen = seen.filter(|seen| seen.position < Position::MAX && seen.attempt < u32::MAX);
    seen.map(Some).ok_or(Refusal::not_run(Reason::MalformedRequest))
}

fn seed(request: RequestId) -> u32 {
    request.as_u64_pair().1 as u32 >> 1
}

fn check(caller: &Caller, prompt: &Prompt) -> Result<Cost, Refusal> {
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

fn admit(
    entry: &Entry,
    caller: &Caller,
    id: RequestId,
    cost: Cost,
    cursor: Cursor,
) -> Result<Request<Admitted>, Refusal> {
    let mut core = entry.core();
    core.teams.try_take(&caller.team.id, caller.budget(), cost, entry.clock.now())?;
    core.retries.deposit();
    let revision = core.view.revision();
    drop(core);
    info!(
        target: "decision", request:% = id, team = caller.team.id,
        prompt_tokens = cost.prompt, output_tokens = cost.output, revision;
        "request admitted"
    );
    let request = Request::new(id, caller.team.id.clone(), cost, caller.deadline);
    Ok(request.admit(cursor, true))
}

/// Gives a team back what a request was charged that has not run.
fn refund(entry: &Entry, caller: &Caller, cost: Cost, refusal: &Refusal) {
    if refusal.outcome == Outcome::NotRun {
        entry.core().teams.refund(&caller.team.id, caller.budget(), cost.kv_tokens());
    }
}

/// Collects the whole answer.
async fn whole(
    mut answer: Answer,
    header: Header,
    first: StreamItem,
    cost: Cost,
) -> Result<Response, Refusal> {
    let mut text = String::new();
    let mut item = first;
    loop {
        match item {
            StreamItem::Token { text: token, .. } => text.push_str(&token),
            StreamItem::End { length, finish } => {
                let document = header.whole(&text, &finish, cost.prompt, length);
                return Ok(Json(document).into_response());
            }
        }
        item = answer.next().await?;
    }
}

/// Returns the events of a streamed answer.
fn events(
    answer: Answer,
    header: Header,
    first: StreamItem,
) -> impl Stream<Item = Result<Event, Infallible>> + Send {
    stream::unfold(Next::Item(Box::new((answer, header, first))), |next| async move {
        match next {
            Next::Item(state) => {
                let (mut answer, header, item) = *state;
                let event = event(&header, &item).id(answer.event_id(&item).to_string());
                let next = match item {
                    StreamItem::End { .. } => Next::Done,
                    StreamItem::Token { .. } => match answer.next().await {
                        Ok(item) => Next::Item(Box::new((answer, header, item))),
                        Err(refusal) => Next::Failed(Problem { request: header.request, refusal }),
                    },
                };
                Some((Ok(event), next))
            }
            Next::Done => Some((Ok(Event::default().data("[DONE]")), Next::Over)),
            Next::Failed(problem) => {
                let data = problem.document().to_string();
                Some((Ok(Event::default().event("error").data(data)), Next::Over))
            }
            Next::Over => None,
        }
    })
}

enum Next {
    Item(Box<(Answer, Header, StreamItem)>),
    Failed(Problem),
    Done,
    Over,
}

fn event(header: &Header, item: &StreamItem) -> Event {
    match item {
        StreamItem::Token { text, .. } => {
            Event::default().data(header.chunk(text, None).to_string())
        }
        StreamItem::End { finish, .. } => {
            Event::default().data(header.chunk("", Some(finish)).to_string())
        }
    }
}
