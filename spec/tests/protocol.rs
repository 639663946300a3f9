//! Model-checks the protocol, and checks that the search finds the fault of each faulty variant.

use fulmarhead_spec::{
    config::{self, ConfigModel, Variant as ConfigVariant},
    keys::{self, KeysModel, Variant as KeysVariant},
    leases::{self, LeasesModel, Variant as LeasesVariant},
    search::{Model, search},
};
use strum::IntoEnumIterator;
use testutils::cases;

/// Checks that a model keeps its invariants and has at least `min_states` states, so that a model
/// that misses some of its events does not pass.
fn check_invariants_hold<M: Model + Clone>(model: M, min_states: usize)
where
    M::Invariant: IntoEnumIterator,
{
    let invariants: Vec<M::Invariant> = M::Invariant::iter().collect();
    let result = search(&model, &invariants);
    println!("{} states, depth {}", result.states, result.depth);
    let violation = result.counterexample.map(|counterexample| counterexample.to_string());
    assert_eq!(violation, None);
    assert!(result.states >= min_states, "the search found only {} states", result.states);
}

fn correct_keys(bounds: keys::Bounds) -> KeysModel {
    KeysModel::new(KeysVariant::Protocol, bounds)
}

fn correct_leases(bounds: leases::Bounds) -> LeasesModel {
    LeasesModel::new(LeasesVariant::Protocol, bounds)
}

fn correct_config(bounds: config::Bounds) -> ConfigModel {
    ConfigModel::new(ConfigVariant::Protocol, bounds)
}

cases! {
    check_invariants_hold {
        /// Guards against a second run and a false "not run" after crashes, delays and expiry.
        keys_with_one_key: (correct_keys(keys::Bounds::ONE_KEY), 100_000),
        /// Guards against a second run and a false "not run" when the ledger is full.
        keys_with_two_keys: (correct_keys(keys::Bounds::TWO_KEYS), 20_000),
        /// Guards against engine memory that leaks when a holder or an agent crashes.
        leases_return_memory: (correct_leases(leases::Bounds::ONE_HOLDER), 90_000),
        /// Guards against a deadlock between holders.
        leases_never_deadlock: (correct_leases(leases::Bounds::TWO_HOLDERS), 70_000),
        /// Guards against a deadlock between holders whose leases were granted at different times.
        leases_never_deadlock_over_time: (correct_leases(leases::Bounds::TWO_HOLDERS_TIME), 25_000),
        /// Guards against a deadlock between holders when an agent loses its leases.
        leases_never_deadlock_after_restart: (
            correct_leases(leases::Bounds::TWO_HOLDERS_RESTART), 3_000,
        ),
        /// Guards against decreasing or changing revisions, unreported conflicts, and work that
        /// starts out of service or on stale state.
        configuration_keeps_its_invariants: (correct_config(config::Bounds::TWO_PROCESSES), 25_000),
    }
}

/// Checks that a fault violates an invariant, and that the shortest counterexample has
/// `event_count` events.
fn check_detects_fault<M: Model + Clone>(model: M, invariant: M::Invariant, event_count: usize) {
    let result = search(&model, &[invariant]);
    let counterexample =
        result.counterexample.expect("the search found no violation of the invariant");
    println!("{} states\n{counterexample}", result.states);
    assert_eq!(counterexample.events.len(), event_count, "{counterexample}");
}

fn faulty_keys(variant: KeysVariant) -> KeysModel {
    KeysModel::new(variant, keys::Bounds::FOR_FAULTS)
}

fn faulty_leases(variant: LeasesVariant, bounds: leases::Bounds) -> LeasesModel {
    LeasesModel::new(variant, bounds)
}

fn faulty_config(variant: ConfigVariant) -> ConfigModel {
    ConfigModel::new(variant, config::Bounds::TWO_PROCESSES)
}

cases! {
    check_detects_fault {
        /// Guards against a search that misses a second run by an agent that does not own the key.
        key_owner_ignored: (
            faulty_keys(KeysVariant::IgnoreKeyOwner), keys::Invariant::TookEffectTwice, 11,
        ),
        /// Guards against a search that misses a second run after a restart.
        incarnation_reused: (
            faulty_keys(KeysVariant::ReuseIncarnation), keys::Invariant::TookEffectTwice, 11,
        ),
        /// Guards against a search that misses a second run of an expired key.
        stale_time_trusted: (
            faulty_keys(KeysVariant::TrustStaleTime), keys::Invariant::TookEffectTwice, 13,
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
        /// Guards against a search that misses a run after an agent that shuts down has answered
        /// its waiting callers "not run".
        not_run_to_waiters: (
            faulty_keys(KeysVariant::NotRunToWaiters), keys::Invariant::EffectAfterNotRun, 6,
        ),
        /// Guards against a search that misses a lease that outlives its holder's attempt.
        leases_without_expiry: (
            faulty_leases(LeasesVariant::NeverExpire, leases::Bounds::ONE_HOLDER),
            leases::Invariant::LeaseOutlivesAttempt,
            6,
        ),
        /// Guards against a search that misses allocated memory without a lease.
        allocations_ignored: (
            faulty_leases(LeasesVariant::IgnoreAllocations, leases::Bounds::ONE_HOLDER),
            leases::Invariant::MemoryOutlivesAttempt,
            9,
        ),
        /// Guards against a search that misses overcommitted memory.
        capacity_overstated: (
            faulty_leases(LeasesVariant::OverstateCapacity, leases::Bounds::TWO_HOLDERS),
            leases::Invariant::Overcommitted,
            4,
        ),
        /// Guards against a search that misses a deadlock.
        hold_and_wait: (
            faulty_leases(LeasesVariant::HoldAndWait, leases::Bounds::TWO_HOLDERS),
            leases::Invariant::Deadlock,
            2,
        ),
        /// Guards against a search that misses a decreasing revision.
        any_revision_adopted: (
            faulty_config(ConfigVariant::AdoptAny), config::Invariant::RevisionDecreased, 3,
        ),
        /// Guards against a search that misses changed content of the active revision.
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
            faulty_config(ConfigVariant::KeepFirst), config::Invariant::HigherRevisionIgnored, 3,
        ),
        /// Guards against a search that misses work that starts on a target out of service.
        stale_phase_used: (
            faulty_config(ConfigVariant::CachePhase), config::Invariant::WorkStartedOutOfService, 5,
        ),
        /// Guards against a search that misses work that starts before the target is read again.
        pause_ignored: (
            faulty_config(ConfigVariant::IgnorePause), config::Invariant::WorkStartedUnconfirmed, 4,
        ),
        /// Guards against a search that misses work that starts on a stale configuration.
        stale_configuration_trusted: (
            faulty_config(ConfigVariant::TrustStaleConfig),
            config::Invariant::WorkStartedUnconfirmed,
            5,
        ),
    }
}
