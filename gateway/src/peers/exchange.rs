//! What entries tell each other and what they take from it.

use super::protocol::{Hello, Known};
use crate::{gateway::Gateway, store::Part};
use fulmarhead_lib::ids::Revision;
use log::info;
use std::time::Duration;

impl Gateway {
    /// Returns what this entry tells another whose copies stand at the given revisions.
    pub(super) fn hello(&self, operator: Option<Revision>, members: Option<Revision>) -> Hello {
        let loads = self.core().pool.loads(self.clock.now());
        Hello {
            entry: self.settings.node.clone(),
            entries: self.roster.all(),
            loads,
            operator: self.known(Part::Operator, operator),
            members: self.known(Part::Members, members),
        }
    }

    /// Takes what another entry told; `asked` is a time at which it had not answered yet.
    pub(super) fn hear(&self, hello: &Hello, asked: Duration) {
        for address in self.roster.learn(&hello.entries) {
            info!(target: "decision", address:%; "learned of an entry");
        }
        let now = self.clock.now();
        self.core().pool.report(hello.entry.clone(), hello.loads.clone(), now);
        self.take(Part::Operator, &hello.operator, asked);
        self.take(Part::Members, &hello.members, asked);
    }

    fn known(&self, part: Part, since: Option<Revision>) -> Known {
        let mut core = self.core();
        let replica = part.replica(&mut core);
        Known {
            at: replica.at(),
            age: replica.freshness().age(self.clock.uptime()),
            delta: since.and_then(|since| replica.delta(since)),
        }
    }

    fn take(&self, part: Part, known: &Known, asked: Duration) {
        let mut core = self.core();
        let replica = part.replica(&mut core);
        let before = replica.at();
        let merged = match &known.delta {
            Some(delta) => replica.merge(delta.clone()),
            None => false,
        };
        // A copy that is as new as the peer's holds all that the peer's was confirmed to hold.
        if let (Some(age), true) = (known.age, replica.at() >= known.at) {
            replica.confirm(asked.saturating_sub(age));
        }
        let after = replica.at();
        drop(core);
        if merged {
            info!(target: "decision", part:%, before, after; "took changes from a peer");
            self.adopt(part);
        }
    }
}
