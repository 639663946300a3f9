//! Wait of a request for capacity: from the forecast that no engine can take it now until it is sent
//! or refused.

use super::{
    attempt::{FailedAttempt, choose_target},
    handle::RequestContext,
    waiting_record as record,
};
use crate::{
    gateway::{Gateway, GatewayState},
    shortage::{Place, Shortage},
};
use fulmarhead_lib::{
    forward::{Call, Failure, Unsent},
    placement::{Choice, Forecast, PlacementError, RequestProfile},
    routes::{RouteMatch, Service},
    shortage::{Cause, Decision, Lane, Standing, Waiter},
};
use rand::RngExt;
use std::{
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};
use tokio::{
    sync::Notify,
    time::{sleep, timeout},
};

/// Interval at which the next request checks for capacity, about the duration of one pass of an
/// engine. The loads also change without a message, as prefill proceeds and back-offs end.
const CAPACITY_CHECK_INTERVAL: Duration = Duration::from_millis(60);

/// Maximum number of targets that are considered for one attempt, if those before can't complete
/// the request in time.
const MAX_CHOICES: usize = 3;

/// Place of a request in the queue, if it waits. Dropping it gives up the place, so that a caller
/// who disconnects holds up nobody.
pub(super) struct WaitingPlace {
    gateway: Arc<Gateway>,
    place: Mutex<Option<Place>>,
}

impl WaitingPlace {
    pub(super) fn new(gateway: &Arc<Gateway>) -> Self {
        Self { gateway: Arc::clone(gateway), place: Mutex::new(None) }
    }

    /// Gives up the place and returns how long the request has waited, if it had one.
    fn leave(&self, shortage: &mut Shortage, now: Instant) -> Option<Duration> {
        let place = self.place.lock().unwrap_or_else(PoisonError::into_inner).take()?;
        let waited = now.saturating_duration_since(place.entered_at);
        shortage.leave(place, now);
        Some(waited)
    }

    fn is_held(&self) -> bool {
        self.place.lock().unwrap_or_else(PoisonError::into_inner).is_some()
    }
}

impl Drop for WaitingPlace {
    fn drop(&mut self) {
        if !self.is_held() {
            return;
        }
        let now = self.gateway.clock.now();
        let mut state = self.gateway.state();
        self.leave(&mut state.shortage, now);
    }
}

/// What a request does that no engine took.
enum Step {
    /// It checks again, as long as it would without a forecast.
    Poll,
    /// It is refused for this reason.
    Refuse(Failure),
    /// It waits until it is woken or the time has passed.
    Wait { limit: Duration, waker: Arc<Notify>, is_next: bool },
}

/// Selects a target that can complete the request in time.
///
/// # Errors
///
/// Returns the error of the selection, or [`PlacementError::Full`] if other requests go first or the
/// selected targets can't complete the request in time.
pub(super) fn choose_servable(
    context: &RequestContext,
    route_match: &RouteMatch,
    service: &Service,
    call: &Call<Unsent>,
) -> Result<Choice, PlacementError> {
    // A refusal of a request that may have run would not be "not run".
    if service.engine.is_none() || call.may_have_run() {
        return choose_target(context, service, call.tried());
    }
    if !call.is_retry() && context.must_wait(route_match, service, call) {
        return Err(PlacementError::Full);
    }
    let mut tried = call.tried().to_vec();
    for _ in 0..MAX_CHOICES {
        match choose_target(context, service, &tried) {
            Ok(choice) if context.is_servable(&choice, service, call) => return Ok(choice),
            Ok(choice) => tried.push(choice.target),
            Err(error) if tried.len() == call.tried().len() => return Err(error),
            Err(_) => break,
        }
    }
    Err(PlacementError::Full)
}

impl RequestContext {
    /// Waits until the call may be sent again.
    ///
    /// # Errors
    ///
    /// Returns the reason if the call is to be refused.
    pub(super) async fn wait_for_capacity(&self, call: &Call<Unsent>) -> Result<(), Failure> {
        tokio::select! {
            biased;
            result = self.wait_turn(call) => result,
            () = self.gateway.end_requests.cancelled() => {
                self.give_up_place();
                Err(Failure::Stopping)
            }
        }
    }

    async fn wait_turn(&self, call: &Call<Unsent>) -> Result<(), Failure> {
        loop {
            match self.next_step(call) {
                Step::Refuse(failure) => return Err(failure),
                Step::Poll if !self.may_wait_for_capacity(call) => return Err(Failure::Overloaded),
                Step::Poll => {
                    sleep(CAPACITY_CHECK_INTERVAL).await;
                    return Ok(());
                }
                Step::Wait { limit, waker, is_next } => {
                    let limit = if is_next { limit.min(CAPACITY_CHECK_INTERVAL) } else { limit };
                    // The end of the time is no error: the next step is decided again.
                    let _ = timeout(limit, waker.notified()).await;
                    if self.is_next() {
                        return Ok(());
                    }
                }
            }
        }
    }

    /// Gives up the place in the queue of a request that is refused.
    fn give_up_place(&self) {
        let now = self.gateway.clock.now();
        let waited = self.place.leave(&mut self.gateway.state().shortage, now);
        if let Some(waited) = waited {
            record::wait_ended(&self.head.request_id, waited, false);
        }
    }

    /// Records that the request is sent to the target of `choice`, which ends its wait.
    pub(super) fn record_sent(&self, route_match: &RouteMatch, service: &Service, choice: &Choice) {
        if service.engine.is_none() {
            return;
        }
        let now = self.gateway.clock.now();
        let parts = (1 + choice.helpers.len()) as f64;
        let prefill = Duration::from_secs_f64((choice.prefill_ms * parts / 1e3).max(0.0));
        let team = route_match.team.as_deref().unwrap_or_default();
        let mut state = self.gateway.state();
        state.shortage.queue.record_sent(team, prefill, now);
        let waited = self.place.leave(&mut state.shortage, now);
        drop(state);
        if let Some(waited) = waited {
            record::wait_ended(&self.head.request_id, waited, true);
        }
        if self.profile.overdue {
            record::return_sent();
        }
    }

    /// Returns the delay after which the caller may return that is refused after `failed`, or `None`
    /// if the loads say nothing about that.
    pub(super) fn return_delay(&self, failed: &FailedAttempt) -> Option<Duration> {
        let is_shortage = matches!(failed.failure, Failure::Overloaded | Failure::Rejected);
        if !is_shortage || failed.call.may_have_run() {
            return None;
        }
        let (route_match, service) = self.select_service().ok()?;
        service.engine.as_ref()?;
        let entries = self.gateway.entry_count();
        let now = self.gateway.clock.now();
        let mut state = self.gateway.state();
        let forecast = state.pool.forecast(&service, &self.forecast_profile(), now);
        if forecast.is_immediate() {
            return None;
        }
        let lane = self.lane(&route_match, &service);
        let time_left = failed.call.deadline().remaining(now);
        let draw = rand::rng().random();
        Some(state.shortage.returns.delay(&lane, &forecast, time_left, entries, draw, now))
    }

    /// Decides what a request does that no engine took, and gives it a place in the queue if it
    /// waits. A request that was already sent to a target does not wait.
    fn next_step(&self, call: &Call<Unsent>) -> Step {
        let now = self.gateway.clock.now();
        if call.is_retry() || !call.may_send(now) {
            return Step::Refuse(Failure::Overloaded);
        }
        let Ok((route_match, service)) = self.select_service() else {
            return Step::Refuse(Failure::Overloaded);
        };
        if service.engine.is_none() {
            return Step::Poll;
        }
        let mut state = self.gateway.state();
        let (forecast, standing) = self.outlook(&mut state, &service, call, now);
        let waiter = self.waiter(&route_match, &service, &forecast, &standing, now);
        let is_queued = self.place.is_held() || state.shortage.queue.goes_before(&waiter, now);
        let (cause, failure) = match standing.decide(&forecast, is_queued) {
            Decision::Unknown => return Step::Poll,
            Decision::Wait(limit) => match self.enter(&mut state, waiter, limit, &forecast, now) {
                Some(step) => return step,
                None => (Cause::QueueFull, Failure::Overloaded),
            },
            Decision::Refuse(cause) => {
                let unlimited = Standing { time_left: call.deadline().remaining(now), ..standing };
                let is_due_to_stop =
                    !matches!(unlimited.decide(&forecast, is_queued), Decision::Refuse(_));
                (cause, if is_due_to_stop { Failure::Stopping } else { Failure::Overloaded })
            }
        };
        drop(state);
        self.give_up_place();
        record::refused_by_forecast(&self.head.request_id, cause, &forecast, &standing);
        Step::Refuse(failure)
    }

    /// Gives the request a place in the queue if it has none. Returns `None` if there is no place.
    fn enter(
        &self,
        state: &mut GatewayState,
        waiter: Waiter,
        limit: Duration,
        forecast: &Forecast,
        now: Instant,
    ) -> Option<Step> {
        let loss_at = waiter.loss_at;
        let mut held = self.place.place.lock().unwrap_or_else(PoisonError::into_inner);
        let place = match held.take() {
            Some(place) => place,
            None => {
                let place = state.shortage.enter(waiter, now).ok()?;
                let waiting = state.shortage.queue.len();
                record::waiting(&self.head.request_id, limit, waiting, forecast);
                place
            }
        };
        let place = held.insert(place);
        let queue = &mut state.shortage.queue;
        queue.update_loss(&place.ticket, loss_at);
        let is_next = queue.is_next(&place.ticket, now);
        Some(Step::Wait { limit, waker: Arc::clone(&place.waker), is_next })
    }

    /// Returns whether the waiting request may be sent if an engine takes it, and otherwise wakes
    /// those that may.
    fn is_next(&self) -> bool {
        let now = self.gateway.clock.now();
        let state = self.gateway.state();
        let held = self.place.place.lock().unwrap_or_else(PoisonError::into_inner);
        let is_next =
            held.as_ref().is_some_and(|place| state.shortage.queue.is_next(&place.ticket, now));
        if !is_next {
            state.shortage.wake_next(now);
        }
        is_next
    }

    /// Returns whether a request without a place has to wait, because others go before it.
    fn must_wait(&self, route_match: &RouteMatch, service: &Service, call: &Call<Unsent>) -> bool {
        let now = self.gateway.clock.now();
        let mut state = self.gateway.state();
        if state.shortage.queue.is_empty() || self.place.is_held() {
            return false;
        }
        let (forecast, standing) = self.outlook(&mut state, service, call, now);
        let waiter = self.waiter(route_match, service, &forecast, &standing, now);
        state.shortage.queue.goes_before(&waiter, now)
    }

    /// Returns whether the target of `choice` can complete the request before its deadline.
    fn is_servable(&self, choice: &Choice, service: &Service, call: &Call<Unsent>) -> bool {
        let now = self.gateway.clock.now();
        let profile = self.forecast_profile();
        let state = self.gateway.state();
        let forecast = state.pool.forecast_choice(choice, service, &profile, now);
        let time_left = time_left(&state, call, now);
        drop(state);
        let servable = forecast.admits_send(time_left);
        if !servable {
            record::send_withheld(&self.head.request_id, choice, &forecast, time_left);
        }
        servable
    }

    fn outlook(
        &self,
        state: &mut GatewayState,
        service: &Service,
        call: &Call<Unsent>,
        now: Instant,
    ) -> (Forecast, Standing) {
        let forecast = state.pool.forecast(service, &self.forecast_profile(), now);
        let standing = Standing {
            objective: self.profile.objective,
            elapsed: now.saturating_duration_since(self.received_at),
            time_left: time_left(state, call, now),
            returned: self.profile.overdue,
            latency_sensitive: self.profile.is_latency_sensitive(),
        };
        (forecast, standing)
    }

    /// Returns the profile with the output that the caller expects. The maximum of the output says
    /// little about its length, so that without an expectation only the first event counts.
    fn forecast_profile(&self) -> RequestProfile {
        RequestProfile { output_tokens: self.head.output_hint.unwrap_or(0), ..self.profile }
    }

    fn lane(&self, route_match: &RouteMatch, service: &Service) -> Lane {
        let RequestProfile { prompt_tokens, output_tokens, .. } = self.profile;
        let capacity = service.engine.map_or(u64::MAX, |engine| engine.kv_capacity);
        Lane {
            service: service.id.clone(),
            route: route_match.route.id.clone(),
            oversized: prompt_tokens + output_tokens > capacity,
        }
    }

    fn waiter(
        &self,
        route_match: &RouteMatch,
        service: &Service,
        forecast: &Forecast,
        standing: &Standing,
        now: Instant,
    ) -> Waiter {
        Waiter {
            lane: self.lane(route_match, service),
            team: route_match.team.clone().unwrap_or_default(),
            priority: route_match.priority,
            returned: standing.returned,
            loss_at: now + standing.time_to_loss(forecast),
        }
    }
}

/// Returns the time that a call has at `now` until its deadline, or until the stop of this entry ends
/// it.
fn time_left(state: &GatewayState, call: &Call<Unsent>, now: Instant) -> Duration {
    let remaining = call.deadline().remaining(now);
    state.stop.map_or(remaining, |stop| remaining.min(stop.remaining(now)))
}
