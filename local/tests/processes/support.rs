//! Helpers that the tests of separate processes share.

use standins::engine::{prompt_state, token};
use std::time::Duration;
use testutils::process::{Event, Fleet, FullResponse, Plan, eventually};

/// Timeout for conditions that normally hold within a moment.
pub(crate) const CONDITION_TIMEOUT: Duration = Duration::from_secs(10);

/// Path of the non-idempotent calls of the application.
pub(crate) const ORDERS_PATH: &str = "/apps/yard-desk/orders";

/// Starts a fleet and waits until it serves; fails the test if it can't be started.
pub(crate) async fn start_fleet(plan: Plan) -> Fleet {
    Fleet::start(plan).await.unwrap()
}

/// Returns the position, text and end mark of each event from `position` on that the response to
/// `prompt` must have.
pub(crate) fn expected_events(
    prompt: &str,
    tokens: u64,
    position: u64,
) -> Vec<(u64, String, bool)> {
    let state = prompt_state(None, prompt);
    let token = |position| (position, token(state, position), false);
    (position..tokens).map(token).chain([(tokens, String::new(), true)]).collect()
}

/// Returns the position, text and end mark of each event.
pub(crate) fn event_contents(events: &[Event]) -> Vec<(u64, String, bool)> {
    events.iter().map(|event| (event.position, event.text.clone(), event.is_end)).collect()
}

/// Returns the complete text that the response to `prompt` must have.
pub(crate) fn expected_text(prompt: &str, tokens: u64) -> String {
    expected_events(prompt, tokens, 0).into_iter().map(|(_, text, _)| text).collect()
}

/// Returns the text of a response that is not streamed.
pub(crate) fn response_text(response: &FullResponse) -> String {
    response.json()["choices"][0]["text"].as_str().unwrap_or_default().to_owned()
}

/// Returns a prompt of `tokens` tokens that differs for each `seed`.
pub(crate) fn prompt(seed: u64, tokens: usize) -> String {
    let unit = format!("quote {seed:08} for a deck ");
    unit.chars().cycle().take(tokens * 4).collect()
}

/// Returns the target that owns an idempotency key, which is part of the key.
pub(crate) fn key_owner(key: &str) -> &str {
    key.split('.').nth(1).unwrap()
}

/// Returns the target that generated an event, which is part of the event's id.
pub(crate) fn event_target(event: &Event) -> &str {
    event.id.split('.').nth(2).unwrap()
}

/// Returns the number of attempts that the log of the agent of `target` has recorded as admitted
/// so far.
pub(crate) fn admitted_count(fleet: &mut Fleet, target: &str) -> usize {
    count_lines(&fleet.agent(target).lines(), "attempt admitted")
}

/// Waits until `target` is idle and returns the number of attempts that its agent has admitted.
///
/// The log is read in order, so the count is complete once as many attempts have ended. A target
/// under load is rarely idle; [`admitted_count`] needs no such moment.
pub(crate) async fn wait_admitted(fleet: &mut Fleet, target: &str) -> usize {
    let idle_count = async || {
        let lines = fleet.agent(target).lines();
        let admitted = count_lines(&lines, "attempt admitted");
        (admitted == count_lines(&lines, "attempt ended")).then_some(admitted)
    };
    eventually("the target is idle", CONDITION_TIMEOUT, idle_count).await.unwrap()
}

fn count_lines(lines: &[String], text: &str) -> usize {
    lines.iter().filter(|line| line.contains(text)).count()
}
