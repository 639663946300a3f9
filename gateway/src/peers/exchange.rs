//! What entries tell each other and what they take from it.

use super::protocol::{Answer, Hello, Stamp};
use crate::{
    gateway::{Core, Gateway},
    store::Part,
};
use fulmarhead_lib::{
    ids::{Revision, TargetId},
    placement::{LoadDelta, TargetLoad},
    replica::Delta,
};
use log::info;
use std::{
    collections::BTreeMap,
    mem::take,
    net::SocketAddr,
    time::{Duration, Instant},
};
use strum::IntoEnumIterator;

/// Time in which a part that was asked for should be here; after it another peer is asked.
const FETCH_TIME: Duration = Duration::from_millis(300);

/// What a connection to a peer has carried so far.
#[derive(Debug, Default)]
pub(super) struct Told {
    /// Loads that the peer knows; none before the first call.
    loads: Option<BTreeMap<TargetId, TargetLoad>>,
    /// What this entry wants of the peer.
    wanted: BTreeMap<Part, Revision>,
    /// What the peer wants.
    owed: BTreeMap<Part, Revision>,
}

impl Told {
    /// Returns whether the next call should follow at once.
    pub(super) fn is_unfinished(&self) -> bool {
        !self.wanted.is_empty() || !self.owed.is_empty()
    }
}

impl Gateway {
    /// Returns what this entry tells a peer that knows what `told` says.
    pub(super) fn hello(&self, told: &mut Told) -> Hello {
        let now = self.clock.now();
        let mut core = self.core();
        let loads = core.pool.own_loads(now);
        let changes = LoadDelta::between(told.loads.as_ref(), &loads);
        changes.apply(told.loads.get_or_insert_default());
        let revisions = Part::iter().map(|part| (part, part.replica(&mut core).revision()));
        let revisions = revisions.collect();
        let deltas = deltas(&mut core, take(&mut told.owed));
        drop(core);
        Hello {
            entry: self.settings.vm_name.clone(),
            address: self.settings.control_address,
            roster: self.roster.digest(),
            loads: changes,
            revisions,
            wanted: take(&mut told.wanted),
            deltas,
        }
    }

    /// Takes what another entry told and returns what it gets for it.
    ///
    /// How long the message was on its way is not known, so that it confirms no copy.
    pub(super) fn answer(&self, hello: Hello) -> Answer {
        self.learn(&[hello.address]);
        self.core().pool.update_peer(hello.entry, &hello.loads, self.clock.now());
        self.merge(hello.deltas);
        let near = self.roster.zone(hello.address).as_ref() == Some(&self.settings.zone);
        let wanted = self.want(&hello.revisions, near);
        let same = hello.roster == self.roster.digest();
        Answer {
            zone: self.settings.zone.clone(),
            entries: if same { Vec::new() } else { self.roster.all() },
            stamps: self.stamps(),
            wanted,
            deltas: deltas(&mut self.core(), hello.wanted),
        }
    }

    /// Takes a peer's answer; `asked` is a time at which it had not answered yet.
    pub(super) fn take(&self, answer: Answer, asked: Duration, told: &mut Told) {
        self.learn(&answer.entries);
        self.merge(answer.deltas);
        let mut core = self.core();
        for (part, stamp) in &answer.stamps {
            let replica = part.replica(&mut core);
            // A copy that is as new as the peer's holds all that the peer's was confirmed to hold.
            if let (Some(age), true) = (stamp.age, replica.revision() >= stamp.at) {
                replica.confirm(asked.saturating_sub(age));
            }
        }
        drop(core);
        let revisions = answer.stamps.iter().map(|(&part, stamp)| (part, stamp.at)).collect();
        told.wanted = self.want(&revisions, answer.zone == self.settings.zone);
        told.owed = answer.wanted;
    }

    /// Returns the parts that a peer with `revisions` should send, with the revisions here.
    ///
    /// One entry of a zone takes what is new from anywhere. The others wait for it, unless the
    /// peer is in their zone or that takes too long.
    fn want(&self, revisions: &BTreeMap<Part, Revision>, near: bool) -> BTreeMap<Part, Revision> {
        let now = self.clock.now();
        let first = self.roster.rank_in(&self.settings.zone, now) == 0;
        let mut core = self.core();
        let wanted = revisions.iter().filter_map(|(&part, &at)| {
            let since = part.replica(&mut core).revision();
            if at <= since {
                return None;
            }
            let fetch = core.fetches.entry(part).or_default();
            let takes = fetch.begin(near || first, now);
            takes.then_some((part, since))
        });
        wanted.collect()
    }

    fn stamps(&self) -> BTreeMap<Part, Stamp> {
        let now = self.clock.uptime();
        let mut core = self.core();
        let stamps = Part::iter().map(|part| {
            let replica = part.replica(&mut core);
            (part, Stamp { at: replica.revision(), age: replica.freshness().age(now) })
        });
        stamps.collect()
    }

    fn learn(&self, addresses: &[SocketAddr]) {
        for address in self.roster.learn(addresses) {
            info!(target: "decision", address:%; "learned of an entry");
        }
    }

    fn merge(&self, deltas: BTreeMap<Part, Delta>) {
        for (part, delta) in deltas {
            let mut core = self.core();
            let replica = part.replica(&mut core);
            let before: Revision = replica.revision();
            let merged = replica.merge(delta);
            let after = replica.revision();
            core.fetches.remove(&part);
            drop(core);
            if merged {
                info!(target: "decision", part:%, before, after; "took changes from a peer");
                self.adopt(part);
                if self.roster.rank_in(&self.settings.zone, self.clock.now()) == 0 {
                    self.tell_peers();
                }
            }
        }
    }
}

/// The fetching of one part that another entry has newer.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Fetch {
    /// Time since which a newer copy is known of.
    behind: Option<Instant>,
    /// Time until which the peer that was asked may take.
    until: Option<Instant>,
}

impl Fetch {
    /// Returns whether the part is asked for now, because it is `eager` or late.
    fn begin(&mut self, eager: bool, now: Instant) -> bool {
        let behind = *self.behind.get_or_insert(now);
        let late = now.saturating_duration_since(behind) >= FETCH_TIME;
        let asked = self.until.is_some_and(|until| now < until);
        let begins = !asked && (eager || late);
        if begins {
            self.until = Some(now + FETCH_TIME);
        }
        begins
    }
}

fn deltas(core: &mut Core, wanted: BTreeMap<Part, Revision>) -> BTreeMap<Part, Delta> {
    let deltas = wanted.into_iter().filter_map(|(part, since)| {
        let delta = part.replica(core).delta(since)?;
        Some((part, delta))
    });
    deltas.collect()
}
