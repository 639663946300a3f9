//! Searches every model of the protocol without a fault. Prints its number of states, its search
//! depth and any counterexample, and fails if there is a counterexample.

use fulmarhead_spec::{
    config::{self, ConfigModel},
    keys::{self, KeysModel},
    leases::{self, LeasesModel},
    search::{Model, search},
};
use std::process::ExitCode;
use strum::IntoEnumIterator;

fn main() -> ExitCode {
    let keys_model = |bounds| KeysModel::new(keys::Variant::Protocol, bounds);
    let leases_model = |bounds| LeasesModel::new(leases::Variant::Protocol, bounds);
    let config_model = |bounds| ConfigModel::new(config::Variant::Protocol, bounds);
    let models_hold = [
        search_and_print("keys, one key", &keys_model(keys::Bounds::ONE_KEY)),
        search_and_print("keys, two keys", &keys_model(keys::Bounds::TWO_KEYS)),
        search_and_print("leases, one holder", &leases_model(leases::Bounds::ONE_HOLDER)),
        search_and_print("leases, two holders", &leases_model(leases::Bounds::TWO_HOLDERS)),
        search_and_print(
            "leases, two holders, time advances",
            &leases_model(leases::Bounds::TWO_HOLDERS_TIME),
        ),
        search_and_print(
            "leases, two holders, agent restart",
            &leases_model(leases::Bounds::TWO_HOLDERS_RESTART),
        ),
        search_and_print(
            "configuration, two processes",
            &config_model(config::Bounds::TWO_PROCESSES),
        ),
    ];
    if models_hold.into_iter().all(|holds| holds) { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Searches a model within its bounds and prints the result; returns whether all invariants hold in
/// every state found.
fn search_and_print<M: Model + Clone>(name: &str, model: &M) -> bool
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
