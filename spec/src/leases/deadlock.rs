//! Detection of deadlocks between holders.

use super::{
    engine::{Engine, LEASE_SIZE, request_id},
    model::{LeasesModel, Variant},
    state::{Attempt, HolderIndex, Stage, State},
};
use crate::clock::Step;
use fulmarhead_lib::lease::Grant;

/// Rounds of a fair schedule, each one step of the clock, within which some holder must get all its
/// leases. Leases left over from an earlier attempt expire within two rounds.
const FAIR_ROUNDS: Step = 4;

/// A holder that has not been granted all its leases yet.
struct Waiter {
    index: HolderIndex,
    attempt: Attempt,
    grants: Vec<Grant>,
}

/// Returns whether all holders that have not ended are waiting, there are at least two of them, and
/// none gets all its leases although each requests them in every one of [`FAIR_ROUNDS`] rounds.
pub(super) fn is_deadlocked(model: &LeasesModel, state: &State) -> bool {
    if state.holders.iter().any(|holder| holder.stage == Stage::HoldsAll) {
        return false;
    }
    let mut waiters = waiters(state);
    if waiters.len() < 2 {
        return false;
    }
    let mut engines = state.engines.clone();
    (1..=FAIR_ROUNDS).all(|round| {
        let time = state.time + round;
        for engine in &mut engines {
            engine.ledger.expire(model.clock.now(time));
        }
        !waiters.iter_mut().any(|waiter| reserve_all(model, &mut engines, waiter, time))
    })
}

fn waiters(state: &State) -> Vec<Waiter> {
    let waiter = |(index, holder): (HolderIndex, &super::state::Holder)| match &holder.stage {
        Stage::Acquiring(grants) => {
            Some(Waiter { index, attempt: holder.attempt, grants: grants.clone() })
        }
        Stage::HoldsAll | Stage::Ended => None,
    };
    state.holders.iter().enumerate().filter_map(waiter).collect()
}

/// Renews the leases of a holder and requests the others until one is refused; returns whether the
/// holder gets all of them.
///
/// After a refusal, the holder releases its leases and starts a new attempt, except in
/// [`Variant::HoldAndWait`].
fn reserve_all(
    model: &LeasesModel,
    engines: &mut [Engine],
    waiter: &mut Waiter,
    time: Step,
) -> bool {
    let now = model.clock.now(time);
    // Each lease is in one ledger; the others refuse to renew it.
    for engine in engines.iter_mut() {
        for grant in &waiter.grants {
            let _ = engine.ledger.renew(grant.lease, now);
        }
    }
    while let Some(key) = model.next_lease(waiter.index, waiter.attempt, &waiter.grants) {
        let ledger = &mut engines[key.engine].ledger;
        // No work without a lease uses memory.
        match ledger.reserve(request_id(waiter.index), key.id(), LEASE_SIZE, 0, now) {
            Ok(grant) => waiter.grants.push(grant),
            Err(_) => {
                if !model.has_variant(Variant::HoldAndWait) {
                    let reservation =
                        model.reservation(waiter.index, waiter.attempt, &waiter.grants);
                    let leases_to_release = reservation.abandon();
                    // A ledger without the lease only refuses later requests for it.
                    for (_, lease) in leases_to_release {
                        for engine in engines.iter_mut() {
                            engine.ledger.release(lease, now);
                        }
                    }
                    waiter.attempt += 1;
                    waiter.grants.clear();
                }
                return false;
            }
        }
    }
    true
}
