//! The searches of the protocol, and of its variants with one fault each.

use fulmarhead_spec::{
    config::{self, ConfigModel, Variant as ConfigVariant},
    keys::{self, KeysModel, Variant as KeysVariant},
    leases::{self, LeasesModel, Variant as LeasesVariant},
    search::{Model, search},
};
use strum::IntoEnumIterator;
use testutils::cases;

/// Checks that a model keeps its guarantees in at least `states` states, so that a model that
/// lost some of its events does not pass.
fn check_holds<M: Model + Clone>(model: M, states: usize)
where
    M::Invariant: IntoEnumIterator,
{
    let watched: Vec<M::Invariant> = M::Invariant::iter().collect();
    let found = search(&model, &watched);
    println!("{} states, depth {}", found.states, found.depth);
    let broken = found.counterexample.map(|counterexample| counterexample.to_string());
    assert_eq!(broken, None);
    assert!(found.states >= states, "{} states", found.states);
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
        /// Guards against a second run and a false "not run" over deaths, delays and expiry.
        keys_with_one_key: (keys(keys::Bounds::ONE_KEY), 100_000),
        /// Guards against the same where the ledger is full.
        keys_with_two_keys: (keys(keys::Bounds::TWO_KEYS), 20_000),
        /// Guards against engine memory that is lost when a holder or an agent dies.
        leases_return_memory: (leases(leases::Bounds::MEMORY), 90_000),
        /// Guards against holders that wait for each other for ever.
        leases_never_block: (leases(leases::Bounds::WAITING), 70_000),
        /// Guards against the same where leases and claims grow old.
        leases_never_block_over_time: (leases(leases::Bounds::WAITING_TIME), 25_000),
        /// Guards against the same where an agent forgets its leases.
        leases_never_block_after_restart: (leases(leases::Bounds::WAITING_RESTART), 3_000),
        /// Guards against revisions that go back and work that starts out of service.
        configuration_never_reverts: (config(config::Bounds::TWO_PROCESSES), 25_000),
    }
}

/// Checks that a fault breaks a guarantee, and that the shortest way to it has `events` events.
fn check_breaks<M: Model + Clone>(model: M, invariant: M::Invariant, events: usize) {
    let found = search(&model, &[invariant]);
    let counterexample = found.counterexample.expect("the fault breaks the guarantee");
    println!("{} states\n{counterexample}", found.states);
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
    check_breaks {
        /// Guards against a search that can't see a second run by another owner.
        keys_of_others: (
            faulty_keys(KeysVariant::RunKeysOfOthers), keys::Invariant::AtMostOnce, 11,
        ),
        /// Guards against a search that can't see a second run after a restart.
        kept_life: (faulty_keys(KeysVariant::KeepLife), keys::Invariant::AtMostOnce, 11),
        /// Guards against a search that can't see a second run of a forgotten key.
        late_time: (faulty_keys(KeysVariant::TrustLateTime), keys::Invariant::AtMostOnce, 13),
        /// Guards against a search that can't see a false "not run" after a lost answer.
        lost_as_unsent: (
            faulty_keys(KeysVariant::LoseAsUnsent), keys::Invariant::NotRunAfterEffect, 6,
        ),
        /// Guards against a search that can't see a false "not run" of an entry.
        refused_at_entry: (
            faulty_keys(KeysVariant::RefuseAtEntry), keys::Invariant::NotRunAfterEffect, 6,
        ),
        /// Guards against a search that can't see a false "not run" of a new agent.
        refused_unconfigured: (
            faulty_keys(KeysVariant::RefuseUnconfigured), keys::Invariant::NotRunAfterEffect, 7,
        ),
        /// Guards against a search that can't see a run after "not run".
        refused_waiting: (
            faulty_keys(KeysVariant::RefuseWaiting), keys::Invariant::EffectAfterNotRun, 6,
        ),
        /// Guards against a search that can't see a lease without a holder.
        leases_without_expiry: (
            faulty_leases(LeasesVariant::NeverExpire, leases::Bounds::MEMORY),
            leases::Invariant::LeaseOutlivesHolder,
            6,
        ),
        /// Guards against a search that can't see memory without a lease.
        ignored_allocations: (
            faulty_leases(LeasesVariant::IgnoreAllocations, leases::Bounds::MEMORY),
            leases::Invariant::MemoryOutlivesHolder,
            9,
        ),
        /// Guards against a search that can't see memory that is promised twice.
        overstated_total: (
            faulty_leases(LeasesVariant::OverstateTotal, leases::Bounds::WAITING),
            leases::Invariant::Overbooked,
            4,
        ),
        /// Guards against a search that can't see a deadlock.
        kept_in_any_order: (
            faulty_leases(LeasesVariant::KeepInAnyOrder, leases::Bounds::WAITING),
            leases::Invariant::MutualWait,
            2,
        ),
        /// Guards against a search that can't see a revision that goes down.
        any_revision: (
            faulty_config(ConfigVariant::AdoptAny), config::Invariant::RevisionFell, 3,
        ),
        /// Guards against a search that can't see two contents of one revision.
        same_revision: (
            faulty_config(ConfigVariant::AdoptSameRevision), config::Invariant::ContentChanged, 4,
        ),
        /// Guards against a search that can't see a conflict that nobody reports.
        hidden_conflict: (
            faulty_config(ConfigVariant::CompareRevisions), config::Invariant::ConflictHidden, 4,
        ),
        /// Guards against a search that can't see a process that stays behind.
        first_revision_kept: (
            faulty_config(ConfigVariant::KeepFirst), config::Invariant::HighestIgnored, 3,
        ),
        /// Guards against a search that can't see work that starts out of service.
        old_phase_kept: (
            faulty_config(ConfigVariant::KeepPhase), config::Invariant::StartedOutOfService, 5,
        ),
        /// Guards against a search that can't see work that starts on old knowledge.
        pause_ignored: (
            faulty_config(ConfigVariant::IgnorePause), config::Invariant::StartedAfterPause, 4,
        ),
        /// Guards against a search that can't see work that starts on an old configuration.
        old_configuration_trusted: (
            faulty_config(ConfigVariant::TrustOldConfiguration),
            config::Invariant::StartedAfterPause,
            5,
        ),
    }
}
