//! Background load of callers that send one request after another.

use crate::support::{CONDITION_TIMEOUT, expected_text, prompt, response_text};
use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};
use testutils::process::{Caller, Fleet, eventually};
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

/// Number of tokens of each response.
const TOKENS: u64 = 10;

/// Running tasks of callers of one or more entries.
pub(crate) struct BackgroundLoad {
    tasks: JoinSet<LoadResult>,
    ended: Arc<AtomicUsize>,
    stop: CancellationToken,
}

/// Number of correct responses, and descriptions of all others.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct LoadResult {
    /// Complete responses with the expected text.
    pub(crate) correct: usize,
    /// Descriptions of all other responses and errors.
    pub(crate) failures: Vec<String>,
}

impl BackgroundLoad {
    /// Starts `callers` callers for each of `entries`, each with prompts of its own.
    pub(crate) fn start(fleet: &Fleet, entries: &[usize], callers: u64) -> Self {
        let mut tasks = JoinSet::new();
        let stop = CancellationToken::new();
        let ended = Arc::default();
        for (index, &entry) in entries.iter().enumerate() {
            for caller in 0..callers {
                let seed = (index as u64 * callers + caller) * 1_000_000;
                tasks.spawn(run_caller(
                    fleet.caller(entry),
                    seed,
                    Arc::clone(&ended),
                    stop.clone(),
                ));
            }
        }
        Self { tasks, ended, stop }
    }

    /// Waits until `count` more requests have ended.
    pub(crate) async fn wait_for(&self, count: usize) {
        let target_count = self.ended.load(Ordering::Relaxed) + count;
        let reached = eventually("the callers' requests end", CONDITION_TIMEOUT, async || {
            (self.ended.load(Ordering::Relaxed) >= target_count).then_some(())
        });
        reached.await.unwrap();
    }

    /// Stops the callers after their current requests, and returns the results of all of them.
    pub(crate) async fn finish(self) -> LoadResult {
        self.stop.cancel();
        let results = self.tasks.join_all().await;
        let mut total = LoadResult::default();
        for mut result in results {
            total.correct += result.correct;
            total.failures.append(&mut result.failures);
        }
        total
    }
}

impl LoadResult {
    /// Checks that there were responses and that all of them were correct.
    pub(crate) fn check(&self) {
        assert_eq!(self.failures, Vec::<String>::new(), "{} responses were correct", self.correct);
        assert!(self.correct > 0);
    }
}

/// Sends requests one after another until `stop` is cancelled.
async fn run_caller(
    caller: Caller,
    seed: u64,
    ended: Arc<AtomicUsize>,
    stop: CancellationToken,
) -> LoadResult {
    let mut result = LoadResult::default();
    let mut number = seed;
    while !stop.is_cancelled() {
        let prompt = prompt(number, 50);
        match caller.complete(&prompt, TOKENS).await {
            Ok(response)
                if response.status == 200
                    && response_text(&response) == expected_text(&prompt, TOKENS) =>
            {
                result.correct += 1;
            }
            Ok(response) => {
                result.failures.push(format!("{} {}", response.status, response.json()))
            }
            Err(error) => result.failures.push(error.to_string()),
        }
        number += 1;
        ended.fetch_add(1, Ordering::Relaxed);
    }
    result
}
