//! Prints how many states the searches of the protocol visit, and what they find.

use fulmarhead_spec::{
    config::{self, ConfigModel},
    keys::{self, KeysModel},
    leases::{self, LeasesModel},
    search::{Model, search},
};
use std::process::ExitCode;
use strum::IntoEnumIterator;

fn main() -> ExitCode {
    let keys = |bounds| KeysModel::new(keys::Variant::Protocol, bounds);
    let leases = |bounds| LeasesModel::new(leases::Variant::Protocol, bounds);
    let config = |bounds| ConfigModel::new(config::Variant::Protocol, bounds);
    let hold = [
        report("keys, one key", &keys(keys::Bounds::ONE_KEY)),
        report("keys, two keys", &keys(keys::Bounds::TWO_KEYS)),
        report("leases, memory", &leases(leases::Bounds::MEMORY)),
        report("leases, waiting", &leases(leases::Bounds::WAITING)),
        report("leases, waiting with time", &leases(leases::Bounds::WAITING_TIME)),
        report("leases, waiting with a restart", &leases(leases::Bounds::WAITING_RESTART)),
        report("configuration", &config(config::Bounds::TWO_PROCESSES)),
    ];
    if hold.into_iter().all(|holds| holds) { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Searches a model and prints the result; returns whether all its guarantees hold.
fn report<M: Model + Clone>(name: &str, model: &M) -> bool
where
    M::Invariant: IntoEnumIterator,
{
    let watched: Vec<M::Invariant> = M::Invariant::iter().collect();
    let found = search(model, &watched);
    println!("{name}: {} states, depth {}", found.states, found.depth);
    if let Some(counterexample) = &found.counterexample {
        println!("{counterexample}");
    }
    found.counterexample.is_none()
}
