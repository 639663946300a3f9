//! Callers that send requests all the time.

use crate::support::{SOON, answer_text, prompt, text};
use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};
use testutils::process::{Caller, Fleet, eventually};
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

/// Length of each answer, in tokens.
const TOKENS: u64 = 10;

/// Callers of one or more entries.
pub(crate) struct Load {
    tasks: JoinSet<Outcome>,
    sent: Arc<AtomicUsize>,
    stop: CancellationToken,
}

/// What callers were told.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Outcome {
    /// Whole and right answers.
    pub(crate) answered: usize,
    /// All other answers.
    pub(crate) wrong: Vec<String>,
}

impl Load {
    /// Starts `callers` callers of each of `entries`; each sends one request after another.
    pub(crate) fn start(fleet: &Fleet, entries: &[usize], callers: u64) -> Self {
        let mut tasks = JoinSet::new();
        let stop = CancellationToken::new();
        let sent = Arc::default();
        for (index, &entry) in entries.iter().enumerate() {
            for caller in 0..callers {
                let seed = (index as u64 * callers + caller) * 1_000_000;
                tasks.spawn(run(fleet.caller(entry), seed, Arc::clone(&sent), stop.clone()));
            }
        }
        Self { tasks, sent, stop }
    }

    /// Waits until `count` more requests have ended.
    pub(crate) async fn wait_for(&self, count: usize) {
        let goal = self.sent.load(Ordering::Relaxed) + count;
        let ended = eventually("callers get answers", SOON, async || {
            (self.sent.load(Ordering::Relaxed) >= goal).then_some(())
        });
        ended.await.unwrap();
    }

    /// Asks the callers to end after their current request, and returns what all were told.
    pub(crate) async fn finish(self) -> Outcome {
        self.stop.cancel();
        let outcomes = self.tasks.join_all().await;
        let mut all = Outcome::default();
        for mut outcome in outcomes {
            all.answered += outcome.answered;
            all.wrong.append(&mut outcome.wrong);
        }
        all
    }
}

impl Outcome {
    /// Checks that there were answers and that all of them were right.
    pub(crate) fn check(&self) {
        assert_eq!(self.wrong, Vec::<String>::new(), "{} answers were right", self.answered);
        assert!(self.answered > 0);
    }
}

async fn run(
    caller: Caller,
    seed: u64,
    sent: Arc<AtomicUsize>,
    stop: CancellationToken,
) -> Outcome {
    let mut outcome = Outcome::default();
    let mut number = seed;
    while !stop.is_cancelled() {
        let prompt = prompt(number, 50);
        match caller.complete(&prompt, TOKENS).await {
            Ok(answer) if answer.status == 200 && answer_text(&answer) == text(&prompt, TOKENS) => {
                outcome.answered += 1;
            }
            Ok(answer) => outcome.wrong.push(format!("{} {}", answer.status, answer.json())),
            Err(error) => outcome.wrong.push(error.to_string()),
        }
        number += 1;
        sent.fetch_add(1, Ordering::Relaxed);
    }
    outcome
}
