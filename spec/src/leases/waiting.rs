//! Whether holders wait for each other for ever.

use super::{
    engine::{Engine, SHARE, request},
    model::{LeasesModel, Variant},
    state::{Attempt, HolderNumber, Stage, State},
};
use crate::clock::Step;
use fulmarhead_lib::lease::Grant;

/// Rounds of a fair schedule in which some holder must get all its leases: what is left of an
/// earlier round expires in two of them.
const ROUNDS: Step = 4;

/// A holder that waits.
struct Waiter {
    number: HolderNumber,
    attempt: Attempt,
    grants: Vec<Grant>,
}

/// Returns whether all holders that have not ended wait, and none of them gets all its leases
/// although each asks again in each of some rounds.
pub(super) fn wait_for_ever(model: &LeasesModel, state: &State) -> bool {
    if state.holders.iter().any(|holder| holder.stage == Stage::Held) {
        return false;
    }
    let mut waiters = waiters(state);
    if waiters.len() < 2 {
        return false;
    }
    let mut engines = state.engines.clone();
    (1..=ROUNDS).all(|round| {
        let time = state.time + round;
        for engine in &mut engines {
            engine.ledger.expire(model.times.now(time));
        }
        !waiters.iter_mut().any(|waiter| collect(model, &mut engines, waiter, time))
    })
}

fn waiters(state: &State) -> Vec<Waiter> {
    let waiter = |(number, holder): (HolderNumber, &super::state::Holder)| match &holder.stage {
        Stage::Collecting(grants) => {
            Some(Waiter { number, attempt: holder.attempt, grants: grants.clone() })
        }
        Stage::Held | Stage::Ended => None,
    };
    state.holders.iter().enumerate().filter_map(waiter).collect()
}

/// Lets a holder ask until it is refused; returns whether it gets all its leases.
fn collect(model: &LeasesModel, engines: &mut [Engine], waiter: &mut Waiter, time: Step) -> bool {
    let now = model.times.now(time);
    for engine in engines.iter_mut() {
        for grant in &waiter.grants {
            let _ = engine.ledger.renew(grant.lease, now);
        }
    }
    while let Some(key) = model.next_lease(waiter.number, waiter.attempt, &waiter.grants) {
        let ledger = &mut engines[key.engine].ledger;
        match ledger.reserve(request(waiter.number), key.id(), SHARE, 0, now) {
            Ok(grant) => waiter.grants.push(grant),
            Err(_) => {
                if !model.is(Variant::KeepInAnyOrder) {
                    let held = model.reservation(waiter.number, waiter.attempt, &waiter.grants);
                    let released = held.abandon();
                    for (_, lease) in released {
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
