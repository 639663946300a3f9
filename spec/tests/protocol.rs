//! Model-checks the protocol, and checks that the search finds the fault of each faulty variant.

use fulmarhead_spec::{
    config::{self, ConfigModel, Variant as ConfigVariant},
    keys::{self, KeysModel, Variant as KeysVariant},
    leases::{self, LeasesModel, Variant as LeasesVariant},
    search::{Model, search},
};
use strum::IntoEnumIterator;
use testutils::cases;

/// Checks that a model keeps its invariants and has at least `states` states, so that a model that
/// misses some of its events does not pass.
fn check_holds<M: Model + Clone>(model: M, states: usize)
where
    M::Invariant: IntoEnumIterator,
{
    let invariants: Vec<M::Invariant> = M::Invariant::iter().collect();
    let result = search(&model, &invariants);
    println!("{} states, depth {}", result.states, result.depth);
    let violation = result.counterexample.map(|counterexample| counterexample.to_string());
    assert_eq!(violation, None);
    assert!(result.states >= states, "{} states", result.states);
}

fn keys(bounds: keys::Bounds) -> KeysModel {
    KeysModel::new(KeysVariant::Protocol, bounds)
}

fn leases(bounds: leases::Bounds) -> LeasesModel {
    LeasesModel::new(LeasesVariant::Protocol, bounds)
}

fn config(bounds: config::Bounds) -> ConfigModel {
    ConfigModel::new(ConfigVariant::Protocol, bounds)
}

cases! {
    check_holds {
        /// Guards against a second run and a false "not run" after crashes, delays and expiry.
        keys_with_one_key: (keys(keys::Bounds::ONE_KEY), 100_000),
        /// Guards against a second run and a false "not run" when the ledger is full.
        keys_with_two_keys: (keys(keys::Bounds::TWO_KEYS), 20_000),
        /// Guards against engine memory that leaks when a holder or an agent crashes.
        leases_return_memory: (leases(leases::Bounds::MEMORY), 90_000),
        /// Guards against a deadlock between holders.
        leases_never_deadlock: (leases(leases::Bounds::WAITING), 70_000),
        /// Guards against a deadlock between holders when leases and claims expire.
        leases_never_deadlock_over_time: (leases(leases::Bounds::WAITING_TIME), 25_000),
        /// Guards against a deadlock between holders when an agent loses its leases.
        leases_never_deadlock_after_restart: (leases(leases::Bounds::WAITING_RESTART), 3_000),
        /// Guards against decreasing revisions and work that starts on a target out of service.
        configuration_never_reverts: (config(config::Bounds::TWO_PROCESSES), 25_000),
    }
}

/// Checks that a fault violates an invariant, and that the shortest counterexample has `events`
/// events.
fn check_detects_fault<M: Model + Clone>(model: M, invariant: M::Invariant, events: usize) {
    let result = search(&model, &[invariant]);
    let counterexample = result.counterexample.expect("the fault violates the invariant");
    println!("{} states\n{counterexample}", result.states);
    assert_eq!(counterexample.events.len(), events, "{counterexample}");
}

fn faulty_keys(variant: KeysVariant) -> KeysModel {
    KeysModel::new(variant, keys::Bounds::FAULTS)
}

fn faulty_leases(variant: LeasesVariant, bounds: leases::Bounds) -> LeasesModel {
    LeasesModel::new(variant, bounds)
}

fn faulty_config(variant: ConfigVariant) -> ConfigModel {
    ConfigModel::new(variant, config::Bounds::TWO_PROCESSES)
}

cases! {
    check_detects_fault {
        /// Guards against a search that misses a second run by another owner.
        key_owner_ignored: (
            faulty_keys(KeysVariant::IgnoreKeyOwner), keys::Invariant::AtMostOnce, 11,
        ),
        /// Guards against a search that misses a second run after a restart.
        incarnation_reused: (
            faulty_keys(KeysVariant::ReuseIncarnation), keys::Invariant::AtMostOnce, 11,
        ),
        /// Guards against a search that misses a second run of an expired key.
        stale_time_trusted: (
            faulty_keys(KeysVariant::TrustStaleTime), keys::Invariant::AtMostOnce, 13,
        ),
        /// Guards against a search that misses a false "not run" after a lost response.
        lost_response_recorded_as_unsent: (
            faulty_keys(KeysVariant::RecordLostAsUnsent), keys::Invariant::NotRunAfterEffect, 6,
        ),
        /// Guards against a search that misses a false "not run" from an entry.
        not_run_at_entry: (
            faulty_keys(KeysVariant::NotRunAtEntry), keys::Invariant::NotRunAfterEffect, 6,
        ),
        /// Guards against a search that misses a false "not run" from an unconfigured agent.
        not_run_unconfigured: (
            faulty_keys(KeysVariant::NotRunUnconfigured), keys::Invariant::NotRunAfterEffect, 7,
        ),
        /// Guards against a search that misses a run after "not run".
        not_run_to_waiters: (
            faulty_keys(KeysVariant::NotRunToWaiters), keys::Invariant::EffectAfterNotRun, 6,
        ),
        /// Guards against a search that misses a lease that outlives its holder.
        leases_without_expiry: (
            faulty_leases(LeasesVariant::NeverExpire, leases::Bounds::MEMORY),
            leases::Invariant::LeaseOutlivesHolder,
            6,
        ),
        /// Guards against a search that misses allocated memory without a lease.
        allocations_ignored: (
            faulty_leases(LeasesVariant::IgnoreAllocations, leases::Bounds::MEMORY),
            leases::Invariant::MemoryOutlivesHolder,
            9,
        ),
        /// Guards against a search that misses overcommitted memory.
        capacity_overstated: (
            faulty_leases(LeasesVariant::OverstateCapacity, leases::Bounds::WAITING),
            leases::Invariant::Overcommitted,
            4,
        ),
        /// Guards against a search that misses a deadlock.
        hold_and_wait: (
            faulty_leases(LeasesVariant::HoldAndWait, leases::Bounds::WAITING),
            leases::Invariant::Deadlock,
            2,
        ),
        /// Guards against a search that misses a decreasing revision.
        any_revision_adopted: (
            faulty_config(ConfigVariant::AdoptAny), config::Invariant::RevisionDecreased, 3,
        ),
        /// Guards against a search that misses changed content of the revision in force.
        same_revision_replaced: (
            faulty_config(ConfigVariant::AdoptSameRevision), config::Invariant::ContentChanged, 4,
        ),
        /// Guards against a search that misses an unreported conflict.
        conflict_unreported: (
            faulty_config(ConfigVariant::CompareRevisionsOnly),
            config::Invariant::ConflictUnreported,
            4,
        ),
        /// Guards against a search that misses a process that ignores newer revisions.
        first_revision_kept: (
            faulty_config(ConfigVariant::KeepFirst), config::Invariant::HighestRevisionIgnored, 3,
        ),
        /// Guards against a search that misses work that starts out of service.
        stale_phase_used: (
            faulty_config(ConfigVariant::CachePhase), config::Invariant::StartedOutOfService, 5,
        ),
        /// Guards against a search that misses work that starts before the target is read again.
        pause_ignored: (
            faulty_config(ConfigVariant::IgnorePause), config::Invariant::StartedAfterPause, 4,
        ),
        /// Guards against a search that misses work that starts on a stale configuration.
        stale_configuration_trusted: (
            faulty_config(ConfigVariant::TrustStaleConfig),
            config::Invariant::StartedAfterPause,
            5,
        ),
    }
}
