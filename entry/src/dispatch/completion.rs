//! The token stream that answers one admitted prompt, over all its attempts.

use super::{
    PromptCall,
    active::ActiveAttempt,
    attempt, multi_engine,
    record::{self, RequestSummary},
    rounds::RetryRounds,
    search::{Destination, TargetSearch},
};
use crate::entry::Entry;
use fulmarhead_lib::{
    ids::TargetId,
    outcome::{Outcome, Reason, Refusal},
    request::{Admitted, EventId, ItemAction, Request, StreamItem},
};
use log::{info, warn};
use std::{
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::time::{sleep, timeout_at};

/// Number of targets that may fail before they send the first item of an attempt. A prompt that
/// crashes the engines which answer it must not be carried to further ones.
const MAX_UNANSWERED_FAILURES: u32 = 2;

/// Time for which the entry sends no requests of the same length class to a target that failed,
/// about as long as a restart.
const FAILURE_BACKOFF: Duration = Duration::from_millis(500);

/// The items that answer one admitted prompt, from one attempt after another.
pub(crate) struct CompletionStream {
    entry: Arc<Entry>,
    request: Request<Admitted>,
    call: PromptCall,
    /// Target that may still hold the stream from an earlier connection of the caller.
    stream_holder: Option<TargetId>,
    current_attempt: Option<ActiveAttempt>,
    search: TargetSearch,
    rounds: RetryRounds,
    /// Base priority, from the configuration of the team.
    team_priority: u8,
    /// Number of targets that failed before they sent an item.
    unanswered_failures: u32,
    admitted_at: Instant,
    /// Time at which the first item was received.
    first_item: Option<Instant>,
}

impl CompletionStream {
    /// Returns the stream of a request that was not sent yet.
    ///
    /// `stream_holder` is the target that may still hold the stream from an earlier connection.
    pub(crate) fn new(
        entry: Arc<Entry>,
        request: Request<Admitted>,
        call: PromptCall,
        stream_holder: Option<TargetId>,
    ) -> Self {
        let admitted_at = entry.clock.now();
        let search = TargetSearch::new(&entry, &request, &call);
        Self {
            team_priority: call.priority,
            unanswered_failures: 0,
            search,
            entry,
            request,
            call,
            stream_holder,
            current_attempt: None,
            rounds: RetryRounds::new(),
            admitted_at,
            first_item: None,
        }
    }

    /// Returns the next item that the caller has not received yet.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the deadline passes, the entry is about to end, or the request fails and
    /// may not be retried.
    pub(crate) async fn next(&mut self) -> Result<StreamItem, Refusal> {
        let entry = Arc::clone(&self.entry);
        let deadline = self.request.deadline.instant();
        let result = tokio::select! {
            biased;
            result = timeout_at(deadline.into(), self.receive()) => Some(result),
            () = entry.end_requests.cancelled() => None,
        };
        let result = match result {
            Some(Ok(result)) => result.map_err(|refusal| self.request.correct_outcome(refusal)),
            Some(Err(_)) => Err(self.request.timeout_refusal()),
            None => Err(self.stop_refusal()),
        };
        self.record_result(&result);
        result
    }

    /// Returns the refusal if the entry ends before the response.
    fn stop_refusal(&self) -> Refusal {
        // A caller that resumes its stream has received a part of it.
        match self.request.attempt().position > 0 {
            true => Refusal::failed(Reason::Interrupted),
            false => self.request.stop_refusal(),
        }
    }

    /// Returns the identifier of the event for `item`, the item that was returned last.
    pub(crate) fn event_id(&self, item: &StreamItem) -> EventId {
        let target = self
            .current_attempt
            .as_ref()
            .map(|current| current.attempt.inflight.target().to_owned());
        EventId {
            request: self.request.id,
            attempt: self.request.attempt().number,
            target: target.unwrap_or_default(),
            position: match item {
                StreamItem::Token { position, .. } => *position,
                StreamItem::End { length, .. } => *length,
            },
        }
    }

    /// Records the time of the first item and, at the end, the outcome of the request.
    fn record_result(&mut self, result: &Result<StreamItem, Refusal>) {
        let now = self.entry.clock.now();
        let class = self.request.cost.class();
        if self.first_item.is_none() && result.is_ok() {
            self.first_item = Some(now);
            record::record_first_token(class, now.saturating_duration_since(self.admitted_at));
        }
        let summary = RequestSummary {
            request: self.request.id,
            class,
            attempts: self.request.attempt().number,
            first_delay: self
                .first_item
                .map(|first| first.saturating_duration_since(self.admitted_at)),
            total_time: now.saturating_duration_since(self.admitted_at),
        };
        match result {
            Ok(StreamItem::Token { .. }) => {}
            Ok(StreamItem::End { length, cached, .. }) => {
                let expected = self.search.record_end(&self.entry, *cached);
                record::record_cached(self.request.id, expected, *cached);
                record::record_answered(&summary, *length);
            }
            Err(refusal) => record::record_failed(&summary, refusal),
        }
    }

    /// Receives items until one is to be delivered, and starts new attempts as needed.
    async fn receive(&mut self) -> Result<StreamItem, Refusal> {
        loop {
            let current = match self.current_attempt.take() {
                Some(current) => current,
                None => self.start_attempt().await?,
            };
            let current = self.current_attempt.insert(current);
            let number = self.request.attempt().number;
            let answered = current.attempt.has_items;
            let item = current.next().await;
            if item.is_some() && !answered {
                self.search.record_first_item(&self.entry);
            }
            let action = item.as_ref().map(|item| self.request.cursor().accept(number, item));
            match (item, action) {
                (Some(item), Some(ItemAction::Deliver)) => return Ok(item),
                (Some(_), Some(ItemAction::Drop)) => {}
                _ => self.handle_interruption()?,
            }
        }
    }

    /// Ends an attempt whose stream was interrupted or has a gap, and prepares the next attempt.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the retry budget allows no further attempt.
    fn handle_interruption(&mut self) -> Result<(), Refusal> {
        let failed = Refusal::failed(Reason::TargetFailed);
        let attempt = self.current_attempt.take().map(|current| current.attempt);
        let is_unanswered = attempt.as_ref().is_some_and(|attempt| !attempt.has_items);
        let target = attempt.map(|attempt| attempt.inflight.target().to_owned());
        let target = target.unwrap_or_default();
        let attempt = self.request.attempt();
        warn!(
            target: "decision", request:% = attempt.request, attempt = attempt.number,
            target_id = target, position = attempt.position;
            "stream broke off"
        );
        self.request.record_failure();
        self.entry.state().prefixes.record_failure(&target);
        self.exclude_for(&target, FAILURE_BACKOFF);
        if is_unanswered && !self.may_fail_again() {
            return Err(failed);
        }
        if !self.entry.state().retry_budget.try_withdraw() {
            return Err(failed);
        }
        self.search.restart(self.entry.clock.now());
        self.rounds.record_failed_attempt(&target, failed);
        self.request.cursor().next_attempt();
        Ok(())
    }

    /// Counts a target that failed before it sent an item, and returns whether the request may be
    /// sent to another one.
    fn may_fail_again(&mut self) -> bool {
        self.unanswered_failures += 1;
        self.unanswered_failures < MAX_UNANSWERED_FAILURES
    }

    /// Sends attempts until a target accepts the request.
    async fn start_attempt(&mut self) -> Result<ActiveAttempt, Refusal> {
        if let Some(attempt) = self.resume().await {
            return Ok(attempt);
        }
        loop {
            let Some(destination) = self.choose_destination()? else {
                self.wait_next_round().await?;
                continue;
            };
            self.request.dispatch();
            let refusal = match self.send_attempt(&destination).await {
                Ok(attempt) => {
                    self.search.record_accepted(&self.entry, &destination);
                    return Ok(attempt);
                }
                Err(refusal) => refusal,
            };
            self.handle_refusal(&destination, refusal)?;
        }
    }

    /// Requests the rest of the stream from the target of an earlier connection.
    async fn resume(&mut self) -> Option<ActiveAttempt> {
        let target = self.stream_holder.take()?;
        let result = attempt::resume(&self.entry, &self.request, &self.call, &target).await;
        match result {
            Ok(attempt) => Some(ActiveAttempt { attempt, leases: None }),
            // The target no longer holds the stream, so the answer is generated again.
            Err(_) => {
                self.request.cursor().next_attempt();
                None
            }
        }
    }

    async fn send_attempt(&self, destination: &Destination) -> Result<ActiveAttempt, Refusal> {
        let Self { entry, request, call, .. } = self;
        match destination {
            Destination::OneEngine(target) => {
                let attempt = attempt::send_prompt(entry, request, call, target, None).await?;
                Ok(ActiveAttempt { attempt, leases: None })
            }
            Destination::MultipleEngines => {
                let (attempt, leases) = multi_engine::send_to_engines(entry, request, call).await?;
                Ok(ActiveAttempt { attempt, leases: Some(leases) })
            }
        }
    }

    /// Chooses the destination of the next attempt, or `None` if the request has to wait.
    fn choose_destination(&mut self) -> Result<Option<Destination>, Refusal> {
        if self.rounds.is_round_over() {
            return Ok(None);
        }
        let entry = Arc::clone(&self.entry);
        // Each attempt uses the active configuration, which may be newer than the one at admission.
        self.call.fleet = entry.fleet()?;
        let tried = self.rounds.tried();
        let destination =
            self.search.choose_destination(&entry, &self.request, &self.call, tried)?;
        let profile = self.search.profile(&self.request, entry.clock.now());
        self.call.priority = profile.priority(self.team_priority);
        if let Some(Destination::OneEngine(target)) = &destination {
            let attempt = self.request.attempt();
            info!(
                target: "decision", request:% = attempt.request, attempt = attempt.number,
                target_id = target, priority = self.call.priority;
                "target chosen"
            );
        }
        Ok(destination)
    }

    /// Records how long a target refuses, so that other requests of the length class skip it.
    fn record_target_refusal(&self, destination: &Destination, refusal: &Refusal) {
        let may_have_run = refusal.outcome != Outcome::NotRun;
        let has_failed = refusal.reason == Reason::TargetFailed && may_have_run;
        let delay = refusal.retry_after.or(has_failed.then_some(FAILURE_BACKOFF));
        if let (Destination::OneEngine(target), true) = (destination, has_failed) {
            self.entry.state().prefixes.record_failure(target);
        }
        if let (Destination::OneEngine(target), Some(delay)) = (destination, delay) {
            self.exclude_for(target, delay);
        }
    }

    /// Excludes a target from requests of the length class for `delay`.
    fn exclude_for(&self, target: &str, delay: Duration) {
        let until = self.entry.clock.now() + delay;
        let class = self.request.cost.class();
        self.entry.state().targets.directory.record_refusal(target, class, until);
    }

    /// Prepares the next attempt after a refusal, or returns the refusal if there is none.
    fn handle_refusal(
        &mut self,
        destination: &Destination,
        refusal: Refusal,
    ) -> Result<(), Refusal> {
        if refusal.outcome == Outcome::NotRun {
            self.request.record_refusal();
        } else {
            self.request.record_failure();
        }
        self.record_target_refusal(destination, &refusal);
        if !self.request.may_retry(&refusal, self.entry.clock.now()) {
            return Err(refusal);
        }
        let failed = refusal.reason == Reason::TargetFailed;
        if failed && refusal.outcome != Outcome::NotRun && !self.may_fail_again() {
            return Err(refusal);
        }
        if failed && !self.entry.state().retry_budget.try_withdraw() {
            return Err(refusal);
        }
        self.request.cursor().next_attempt();
        match destination {
            Destination::OneEngine(target) => self.rounds.record_failed_attempt(target, refusal),
            Destination::MultipleEngines => self.rounds.end_round(refusal),
        }
        Ok(())
    }

    /// Waits for the next round.
    ///
    /// # Errors
    ///
    /// Returns the last refusal at once if the deadline passes before the round would start.
    async fn wait_next_round(&mut self) -> Result<(), Refusal> {
        let wait = self.rounds.next_round();
        if self.request.deadline.remaining(self.entry.clock.now()) <= wait {
            return Err(self.rounds.last_refusal());
        }
        sleep(wait).await;
        Ok(())
    }
}
