//! The answer to one admitted prompt, over as many attempts as it takes.

use super::{
    attempt::{self, Attempt},
    large::{self, Leases},
    pace::Pace,
    record::{self, Completed},
    search::{Choice, Search},
};
use crate::entry::Entry;
use fulmarhead_lib::{
    config::Fleet,
    ids::{ModelId, TargetId, Tokens},
    outcome::{Outcome, Reason, Refusal},
    request::{Admitted, EventId, ItemAction, Request, StreamItem},
};
use log::{info, warn};
use serde_json::Value;
use std::{collections::BTreeMap, sync::Arc, time::Instant};
use tokio::time::{sleep, timeout_at};

/// A prompt as the caller gave it.
#[derive(Clone, Debug)]
pub(crate) struct Prompt {
    pub(crate) model: ModelId,
    pub(crate) text: String,
    pub(crate) max_tokens: Tokens,
    /// Sampling parameters, passed on to the engine.
    pub(crate) sampling: BTreeMap<String, Value>,
}

/// A prompt with what its attempts need.
#[derive(Clone, Debug)]
pub(crate) struct PromptCall {
    pub(crate) prompt: Prompt,
    pub(crate) priority: u8,
    /// Whether the caller may come back for the rest of a stream that broke off.
    pub(crate) streamed: bool,
    pub(crate) fleet: Arc<Fleet>,
}

/// The answer to one admitted prompt.
pub(crate) struct Answer {
    entry: Arc<Entry>,
    request: Request<Admitted>,
    call: PromptCall,
    /// Target that may still hold the stream of an earlier connection.
    holder: Option<TargetId>,
    source: Option<Source>,
    search: Search,
    pace: Pace,
    /// Priority of the team.
    priority: u8,
    /// Whether an attempt was sent and may have run.
    ran: bool,
    received: Instant,
    first: Option<Instant>,
}

/// Where the current attempt gets its items from.
struct Source {
    attempt: Attempt,
    /// Leases of a prompt over several engines, released when the source is dropped.
    leases: Option<Leases>,
}

impl Answer {
    /// Returns the answer of a request that was not sent yet; `holder` may hold its stream from
    /// an earlier connection.
    pub(crate) fn new(
        entry: Arc<Entry>,
        request: Request<Admitted>,
        call: PromptCall,
        holder: Option<TargetId>,
    ) -> Self {
        let received = entry.clock.now();
        let search = Search::new(&entry, &request, &call);
        Self {
            priority: call.priority,
            ran: false,
            search,
            entry,
            request,
            call,
            holder,
            source: None,
            pace: Pace::new(),
            received,
            first: None,
        }
    }

    /// Returns the next item that the caller has not seen, within the time limit.
    pub(crate) async fn next(&mut self) -> Result<StreamItem, Refusal> {
        let deadline = self.request.deadline.instant();
        let result = match timeout_at(deadline.into(), self.advance()).await {
            Ok(result) => result,
            Err(_) => Err(self.request.timeout_refusal()),
        };
        let result = result.map_err(|refusal| self.truthful(refusal));
        self.record(&result);
        result
    }

    /// Returns a refusal that does not say of a request that it has not run when it may have.
    fn truthful(&self, refusal: Refusal) -> Refusal {
        match refusal.outcome {
            Outcome::NotRun if self.ran => Refusal { outcome: Outcome::Failed, ..refusal },
            _ => refusal,
        }
    }

    /// Returns the identifier of the event for the item that was returned last.
    pub(crate) fn event_id(&self, item: &StreamItem) -> EventId {
        let target = self.source.as_ref().map(|source| source.attempt.tally.target().to_owned());
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

    /// Writes the first token and the outcome of the request to the log and the metrics.
    fn record(&mut self, result: &Result<StreamItem, Refusal>) {
        let now = self.entry.clock.now();
        let class = self.request.cost.class();
        if self.first.is_none() && result.is_ok() {
            self.first = Some(now);
            record::first_token(class, now.saturating_duration_since(self.received));
        }
        let done = Completed {
            request: self.request.id,
            class,
            attempts: self.request.attempt().number,
            first: self.first.map(|first| first.saturating_duration_since(self.received)),
            total: now.saturating_duration_since(self.received),
        };
        match result {
            Ok(StreamItem::Token { .. }) => {}
            Ok(StreamItem::End { length, .. }) => record::answered(&done, *length),
            Err(refusal) => record::failed(&done, refusal),
        }
    }

    async fn advance(&mut self) -> Result<StreamItem, Refusal> {
        loop {
            let source = match self.source.take() {
                Some(source) => source,
                None => self.connect().await?,
            };
            let source = self.source.insert(source);
            let number = self.request.attempt().number;
            let item = source.next().await;
            let verdict = item.as_ref().map(|item| self.request.cursor().accept(number, item));
            match (item, verdict) {
                (Some(item), Some(ItemAction::Deliver)) => return Ok(item),
                (Some(_), Some(ItemAction::Drop)) => {}
                _ => self.break_off()?,
            }
        }
    }

    /// Ends an attempt whose stream broke off and allows the next one.
    fn break_off(&mut self) -> Result<(), Refusal> {
        let failed = Refusal::failed(Reason::TargetFailed);
        let target = self.source.take().map(|source| source.attempt.tally.target().to_owned());
        let target = target.unwrap_or_default();
        let attempt = self.request.attempt();
        warn!(
            target: "decision", request:% = attempt.request, attempt = attempt.number,
            target_id = target, position = attempt.position;
            "stream broke off"
        );
        if !self.entry.core().retries.try_withdraw() {
            return Err(failed);
        }
        self.ran = true;
        self.search.restart(self.entry.clock.now());
        self.pace.refused(&target, failed);
        self.request.cursor().next_attempt();
        Ok(())
    }

    /// Makes attempts until a target takes the request.
    async fn connect(&mut self) -> Result<Source, Refusal> {
        if let Some(source) = self.resume().await {
            return Ok(source);
        }
        loop {
            let Some(target) = self.choose()? else {
                self.wait().await?;
                continue;
            };
            self.request.dispatch();
            let refusal = match self.attempt(&target).await {
                Ok(source) => {
                    self.search.found(&self.entry, &target);
                    return Ok(source);
                }
                Err(refusal) => refusal,
            };
            self.refused(&target, refusal)?;
        }
    }

    /// Asks the target of an earlier connection for the rest of its stream.
    async fn resume(&mut self) -> Option<Source> {
        let target = self.holder.take()?;
        let sent = attempt::resume(&self.entry, &self.request, &self.call, &target).await;
        match sent {
            Ok(attempt) => Some(Source { attempt, leases: None }),
            // The target no longer has the stream, so that the answer is generated again.
            Err(_) => {
                self.request.cursor().next_attempt();
                None
            }
        }
    }

    async fn attempt(&self, target: &Choice) -> Result<Source, Refusal> {
        match target {
            Choice::One(target) => {
                let attempt =
                    attempt::send(&self.entry, &self.request, &self.call, target, None).await?;
                Ok(Source { attempt, leases: None })
            }
            Choice::Several => {
                let (attempt, leases) = large::send(&self.entry, &self.request, &self.call).await?;
                Ok(Source { attempt, leases: Some(leases) })
            }
        }
    }

    fn choose(&mut self) -> Result<Option<Choice>, Refusal> {
        if self.pace.is_round_over() {
            return Ok(None);
        }
        let entry = Arc::clone(&self.entry);
        // Each attempt is decided by the configuration in force, not by the one at admission.
        self.call.fleet = entry.fleet()?;
        let tried = self.pace.tried();
        let choice = self.search.choose(&entry, &self.request, &self.call, tried)?;
        let need = self.search.need(&self.request, entry.clock.now());
        self.call.priority = need.priority(self.priority);
        if let Some(Choice::One(target)) = &choice {
            let attempt = self.request.attempt();
            info!(
                target: "decision", request:% = attempt.request, attempt = attempt.number,
                target_id = target, priority = self.call.priority;
                "target chosen"
            );
        }
        Ok(choice)
    }

    /// Remembers a target that has no room, so that other requests of the class do not try it.
    fn note(&self, target: &Choice, refusal: &Refusal) {
        let (Choice::One(target), Some(wait)) = (target, refusal.retry_after) else { return };
        let until = self.entry.clock.now() + wait;
        let class = self.request.cost.class();
        self.entry.core().known.directory.record_refusal(target, class, until);
    }

    fn refused(&mut self, target: &Choice, refusal: Refusal) -> Result<(), Refusal> {
        if refusal.outcome == Outcome::NotRun {
            self.request.record_refusal();
        } else {
            self.ran = true;
        }
        self.note(target, &refusal);
        if !self.request.may_retry(&refusal, self.entry.clock.now()) {
            return Err(refusal);
        }
        let failed = refusal.reason == Reason::TargetFailed;
        if failed && !self.entry.core().retries.try_withdraw() {
            return Err(refusal);
        }
        self.request.cursor().next_attempt();
        match target {
            Choice::One(target) => self.pace.refused(target, refusal),
            Choice::Several => self.pace.end_round(refusal),
        }
        Ok(())
    }

    /// Waits before the next round, or gives up if the time limit ends before it.
    async fn wait(&mut self) -> Result<(), Refusal> {
        let wait = self.pace.next_round();
        if self.request.deadline.remaining(self.entry.clock.now()) <= wait {
            return Err(self.pace.last());
        }
        sleep(wait).await;
        Ok(())
    }
}

impl Source {
    async fn next(&mut self) -> Option<StreamItem> {
        match &mut self.leases {
            Some(leases) => leases.renew_while(self.attempt.next()).await.ok().flatten(),
            None => self.attempt.next().await,
        }
    }
}
