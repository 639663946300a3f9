//! Selection of a target for each request, based on the requests that this entry and its peers
//! have in flight.

mod choice;
mod cost;
mod demand;
mod departures;
mod forecast;
mod health;
mod load;
mod member;
mod notices;
mod observed;
mod outages;
mod oversized;
mod pace;
mod pool;
mod reports;
mod request_limits;
mod room;
mod selection;
mod spread;
mod target;
mod zones;

pub use self::{
    choice::{Backoff, Choice, Helper, PlacementError},
    cost::RequestProfile,
    forecast::Forecast,
    health::{AttemptResult, Health},
    load::{LoadDelta, Stage, TargetLoad, Work, WorkId},
    member::{Member, MemberState},
    notices::{Notice, NoticeEffect},
    observed::{ObservedLoad, ObservedLoadError},
    pace::StreamMeter,
    pool::{Pool, PoolSummary},
    reports::{ConnectionId, ReportSource},
    request_limits::{LimitChange, LimitNews, LimitSummary, LimitVersion, RateNotice},
};
