//! Forecast of when an engine can begin a request, from the loads of the engines and their model.

use super::{
    Choice, Pool, RequestProfile, TargetLoad, Work, load::loaded_pass_ms, room::PrefillRoom,
    selection::MAX_HELPERS, target::Target,
};
use crate::routes::{EngineModel, Service};
use std::time::{Duration, Instant};

/// Share of the expected wait that passes at least. Requests of similar age end together, so a slot
/// may become free well before the mean time.
const MIN_WAIT_SHARE: f64 = 0.5;

/// Weight of a new request in the means of recent requests: about the last 64 of them count.
const NEW_REQUEST_WEIGHT: f64 = 1.0 / 64.0;

/// Time at which a request can begin, and how long it then takes, in an estimate from below. All
/// times are relative to the time of the forecast.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Forecast {
    /// Time before which the request does not begin.
    pub earliest: Duration,
    /// Time by which the request is expected to begin.
    pub expected: Duration,
    /// Time by which the request begins if the work ahead of it takes long.
    pub latest: Duration,
    /// Time from the begin of the request to its first event.
    pub first_event: Duration,
    /// Time from the first to the last event.
    pub output: Duration,
    /// Mean time between the ends of two requests, over all engines; zero if none is busy.
    pub end_interval: Duration,
}

impl Forecast {
    /// Returns whether an engine can begin the request at once, as far as the loads show.
    pub fn is_immediate(&self) -> bool {
        self.expected.is_zero()
    }

    /// Returns the time from the begin of the request to its last event.
    pub fn service_time(&self) -> Duration {
        self.first_event + self.output
    }

    /// Returns whether the last event can arrive within `time_left`, as far as is known.
    pub fn is_servable(&self, time_left: Duration) -> bool {
        self.earliest + self.service_time() <= time_left
    }

    /// Returns whether the last event arrives within `time_left` even if the work ahead takes long.
    /// Under lasting overload the wait grows to what this allows, so that an estimate which is too
    /// short would let all requests miss their deadlines after they have taken up an engine.
    pub fn is_certain(&self, time_left: Duration) -> bool {
        self.latest + self.service_time() <= time_left
    }

    /// Returns whether the request may be sent with `time_left` until its deadline. Work ahead
    /// counts as long. Without any, only the first event must be in time: the expected output is often
    /// far off, and an idle engine loses little by it.
    pub fn admits_send(&self, time_left: Duration) -> bool {
        match self.is_immediate() {
            true => self.first_event <= time_left,
            false => self.is_certain(time_left),
        }
    }
}

/// Means of the requests that this entry sent to engines, which stand for those that are there.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct RecentWork {
    /// Output tokens and prefill time in ms; `None` before the first request.
    means: Option<(f64, f64)>,
}

impl RecentWork {
    /// Records a request that is sent. Requests without output are those of applications.
    pub(super) fn record(&mut self, work: &Work) {
        if work.output_tokens == 0 {
            return;
        }
        let new = (work.output_tokens as f64, work.prefill_ms);
        let (output, prefill) = self.means.unwrap_or(new);
        let mean = |old: f64, new: f64| old + (new - old) * NEW_REQUEST_WEIGHT;
        self.means = Some((mean(output, new.0), mean(prefill, new.1)));
    }

    /// Returns the shortest and the longest time for which a request holds its slot, in ms. The
    /// shortest has no prefill of other requests in its passes, the longest one for each slot.
    fn hold_ms(&self, load: &TargetLoad, engine: &EngineModel, default: f64) -> (f64, f64) {
        let (output, prefill) = self.means.unwrap_or((default, 0.0));
        let passes = passes(output, engine);
        let shortest = passes * engine.base_pass_ms();
        let longest = passes * loaded_pass_ms(load, engine).max(engine.base_pass_ms())
            + f64::from(engine.slots) * prefill;
        (shortest, longest)
    }
}

/// Wait for one engine, in ms, as an estimate from below and from above.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Wait {
    shortest: f64,
    longest: f64,
}

impl Wait {
    /// Returns the wait behind the prefill of `load`, and until `share` of the running requests have
    /// ended, or `min_share` if the first of them end at once. The requests in the engine's queue
    /// have prefill too, and hold their slots after it.
    fn new(load: &TargetLoad, share: f64, min_share: f64, hold: (f64, f64)) -> Self {
        let prefill = f64::from(load.prefill_ms.max(0.0));
        let (shortest, longest) = (min_share * hold.0, share * hold.1);
        Self { shortest: prefill.max(shortest), longest: prefill + longest }
    }
}

impl Pool {
    /// Returns the forecast for a request that is sent at `now` or waits for capacity: that of the
    /// engine with the earliest first event.
    ///
    /// The forecast is all zero for an application, or if no target is usable. The age of the
    /// reports of other entries widens it. Without reports, the requests of this entry alone count.
    pub fn forecast(
        &mut self,
        service: &Service,
        profile: &RequestProfile,
        now: Instant,
    ) -> Forecast {
        self.reports.expire(now);
        let Some(engine) = &service.engine else { return Forecast::default() };
        let usable = self.targets.iter().filter(|(id, target)| {
            target.member.service == service.id && self.accepts_requests(id, target, now)
        });
        let (mut limited, mut unlimited) = (Vec::new(), Vec::new());
        for (id, target) in usable {
            let started_at = target.member.started_at;
            let limit_wait = self.request_limits.wait(id, started_at, now);
            let pause = self.notices.pause(id, started_at, now).max(limit_wait);
            let loads = if limit_wait.is_some() { &mut limited } else { &mut unlimited };
            loads.push((self.load(id, target, now), pause.map_or(0.0, millis)));
        }
        let parts = part_limit(&unlimited, engine, profile);
        // A limited target takes too few requests to count beside others.
        let loads = if unlimited.is_empty() { limited } else { unlimited };
        let end_interval = self.end_interval(&loads, engine, profile);
        let prefill_ms = engine.prefill_ms(profile.prompt_tokens) / parts as f64;
        let tokens = profile.prompt_tokens + profile.output_tokens;
        if tokens > engine.kv_capacity {
            let wait = self.idle_wait(&loads, engine, profile);
            return self.build(wait, &TargetLoad::default(), prefill_ms, engine, profile, now);
        }
        let waits = loads.iter().map(|(load, pause)| {
            let wait = self.wait(load, engine, profile, tokens);
            let Wait { shortest, longest } = wait;
            (load, Wait { shortest: shortest.max(*pause), longest: longest.max(*pause) })
        });
        let begin = |(load, wait): &(&TargetLoad, Wait)| {
            wait.shortest + wait.longest + loaded_pass_ms(load, engine)
        };
        let best = waits.min_by(|a, b| begin(a).total_cmp(&begin(b)));
        let Some((load, wait)) = best else { return Forecast::default() };
        let forecast = self.build(wait, load, prefill_ms, engine, profile, now);
        Forecast { end_interval, ..forecast }
    }

    /// Returns the forecast for a request that is sent to the target of `choice` at `now`.
    pub fn forecast_choice(
        &self,
        choice: &Choice,
        service: &Service,
        profile: &RequestProfile,
        now: Instant,
    ) -> Forecast {
        let Some(engine) = &service.engine else { return Forecast::default() };
        let held: u64 = choice.helpers.iter().map(|helper| helper.held_tokens).sum();
        let tokens = (profile.prompt_tokens + profile.output_tokens).saturating_sub(held);
        let wait = self.wait(&choice.load, engine, profile, tokens);
        self.build(wait, &choice.load, choice.prefill_ms, engine, profile, now)
    }

    /// Returns whether `target` may get requests.
    fn accepts_requests(&self, id: &str, target: &Target, now: Instant) -> bool {
        target.is_listed_ready(now)
            && !self.notices.is_leaving(id, target.member.started_at)
            && !self.excluded_zones.contains(&target.member.zone, now)
    }

    /// Returns the wait until an engine with `load` has a slot, memory for `tokens`, and no prefill
    /// ahead.
    fn wait(
        &self,
        load: &TargetLoad,
        engine: &EngineModel,
        profile: &RequestProfile,
        tokens: u64,
    ) -> Wait {
        let hold = self.recent_work.hold_ms(load, engine, profile.output_tokens as f64);
        let slots = f64::from(engine.slots.max(1));
        let ends_needed = load.requests.saturating_sub(engine.slots.saturating_sub(1));
        // Requests in the engine's queue hold no memory yet, so that it becomes free no faster.
        let held = load.kv_tokens.min(engine.kv_capacity).max(1);
        let excess = (load.kv_tokens + tokens).saturating_sub(engine.kv_capacity);
        let share = (f64::from(ends_needed) / slots).max(excess as f64 / held as f64);
        Wait::new(load, share, (share - 1.0 / slots).max(0.0), hold)
    }

    /// Returns the wait until enough engines are idle for a prompt that needs the memory of several.
    fn idle_wait(
        &self,
        loads: &[(TargetLoad, f64)],
        engine: &EngineModel,
        profile: &RequestProfile,
    ) -> Wait {
        let tokens = profile.prompt_tokens + profile.output_tokens;
        let count = tokens.div_ceil(engine.kv_capacity.max(1)) as usize;
        let mut waits: Vec<Wait> = loads
            .iter()
            .filter(|(load, _)| !load.is_idle())
            .map(|(load, _)| {
                let hold = self.recent_work.hold_ms(load, engine, profile.output_tokens as f64);
                let requests = f64::from(load.requests);
                let share = requests / (requests + 1.0);
                let share = share.max(requests / f64::from(engine.slots.max(1)));
                Wait::new(load, share, share, hold)
            })
            .collect();
        let idle = loads.len() - waits.len();
        waits.sort_by(|a, b| a.shortest.total_cmp(&b.shortest));
        // With too few engines in total, the request waits for all of them.
        let index = (count.saturating_sub(idle)).min(waits.len());
        index.checked_sub(1).map(|index| waits[index]).unwrap_or_default()
    }

    /// Returns the mean time between the ends of two requests at the engines with `loads`.
    fn end_interval(
        &self,
        loads: &[(TargetLoad, f64)],
        engine: &EngineModel,
        profile: &RequestProfile,
    ) -> Duration {
        let ends_per_ms: f64 = loads
            .iter()
            .map(|(load, _)| {
                let hold = self.recent_work.hold_ms(load, engine, profile.output_tokens as f64);
                f64::from(load.requests.min(engine.slots)) * 2.0 / (hold.0 + hold.1).max(1.0)
            })
            .sum();
        if ends_per_ms > 0.0 { from_millis(1.0 / ends_per_ms) } else { Duration::ZERO }
    }

    fn build(
        &self,
        wait: Wait,
        load: &TargetLoad,
        prefill_ms: f64,
        engine: &EngineModel,
        profile: &RequestProfile,
        now: Instant,
    ) -> Forecast {
        let age = self.reports.age(now);
        let pass_ms = loaded_pass_ms(load, engine);
        let passes_after_first = (passes(profile.output_tokens as f64, engine) - 1.0).max(0.0);
        Forecast {
            earliest: from_millis(MIN_WAIT_SHARE * wait.shortest).saturating_sub(age),
            expected: from_millis((wait.shortest + wait.longest) / 2.0),
            latest: if wait.longest > 0.0 {
                from_millis(wait.longest) + age
            } else {
                Duration::ZERO
            },
            first_event: from_millis(prefill_ms + pass_ms),
            output: from_millis(passes_after_first * pass_ms.max(engine.base_pass_ms())),
            end_interval: Duration::ZERO,
        }
    }
}

/// Returns the largest number of engines that may prefill parts of the prompt, at least 1.
fn part_limit(
    loads: &[(TargetLoad, f64)],
    engine: &EngineModel,
    profile: &RequestProfile,
) -> usize {
    if profile.is_latency_sensitive() {
        return 1;
    }
    let smallest_part = engine.prefill_ms(profile.prompt_tokens) / (MAX_HELPERS + 1) as f64;
    let admits = |load: &TargetLoad| PrefillRoom::of(load, engine).admits(smallest_part);
    let helpers = loads.iter().filter(|(load, _)| admits(load)).count();
    helpers.clamp(1, MAX_HELPERS + 1)
}

/// Returns the number of passes in which an engine generates `output` tokens of a request.
fn passes(output: f64, engine: &EngineModel) -> f64 {
    (output / f64::from(engine.stride.max(1))).ceil()
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}

/// Returns a duration of `ms`, at most one hour, which is longer than any request waits.
fn from_millis(ms: f64) -> Duration {
    Duration::from_secs_f64((ms / 1e3).clamp(0.0, 3_600.0))
}
