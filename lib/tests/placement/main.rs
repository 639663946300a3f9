//! Tests of how an entry selects targets.

mod availability;
mod choice;
mod demand;
mod departures;
mod fixture;
mod limit_division;
mod limit_fleet;
mod notices;
mod outages;
mod oversized;
mod pace;
mod peers;
mod recovery;
mod request_limits;
mod room;
