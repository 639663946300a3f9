//! What the tests of processes share.

use standins::engine::{prompt_state, token};
use std::time::Duration;
use testutils::process::{Event, Fleet, FullResponse, Plan, eventually};

/// Longest time for a condition that takes a moment.
pub(crate) const SOON: Duration = Duration::from_secs(10);

/// Path of calls that must not be repeated.
pub(crate) const ORDERS: &str = "/apps/yard-desk/orders";

/// Starts a fleet; a test can't go on without one.
pub(crate) async fn start(plan: Plan) -> Fleet {
    Fleet::start(plan).await.unwrap()
}

/// Returns position, text and end mark of each event of the answer to `prompt` from `position` on.
pub(crate) fn expected(prompt: &str, tokens: u64, position: u64) -> Vec<(u64, String, bool)> {
    let state = prompt_state(None, prompt);
    let token = |position| (position, token(state, position), false);
    (position..tokens).map(token).chain([(tokens, String::new(), true)]).collect()
}

/// Returns position, text and end mark of each event.
pub(crate) fn contents(events: &[Event]) -> Vec<(u64, String, bool)> {
    events.iter().map(|event| (event.position, event.text.clone(), event.is_end)).collect()
}

/// Returns the text of the whole answer to `prompt`.
pub(crate) fn text(prompt: &str, tokens: u64) -> String {
    expected(prompt, tokens, 0).into_iter().map(|(_, text, _)| text).collect()
}

/// Returns the text of a whole answer.
pub(crate) fn answer_text(answer: &FullResponse) -> String {
    answer.json()["choices"][0]["text"].as_str().unwrap_or_default().to_owned()
}

/// Returns a prompt of `tokens` tokens that differs for each `seed`.
pub(crate) fn prompt(seed: u64, tokens: usize) -> String {
    let unit = format!("quote {seed:08} for a deck ");
    unit.chars().cycle().take(tokens * 4).collect()
}

/// Returns the target that a key names.
pub(crate) fn owner(key: &str) -> &str {
    key.split('.').nth(1).unwrap()
}

/// Returns the target that generated an event.
pub(crate) fn source(event: &Event) -> &str {
    event.id.split('.').nth(2).unwrap()
}

/// Returns how many attempts the agent of `target` has admitted.
///
/// The log is read in order, so that the count is complete once it equals that of ended attempts.
pub(crate) async fn wait_admitted(fleet: &mut Fleet, target: &str) -> usize {
    let lines = async || {
        let lines = fleet.agent(target).lines();
        let count = |text: &str| lines.iter().filter(|line| line.contains(text)).count();
        let admitted = count("attempt admitted");
        (admitted == count("attempt ended")).then_some(admitted)
    };
    eventually("the target is idle", SOON, lines).await.unwrap()
}
