//! Model-checks the protocol and prints the number of states and any counterexample.

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

/// Searches a model and prints the result; returns whether all its invariants hold.
fn report<M: Model + Clone>(name: &str, model: &M) -> bool
where
    M::Invariant: IntoEnumIterator,
{
    let invariants: Vec<M::Invariant> = M::Invariant::iter().collect();
    let result = search(model, &invariants);
    println!("{name}: {} states, depth {}", result.states, result.depth);
    if let Some(counterexample) = &result.counterexample {
        println!("{counterexample}");
    }
    result.counterexample.is_none()
}
