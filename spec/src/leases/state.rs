//! State and events of the model of leases.

use super::engine::Engine;
use crate::clock::Step;
use fulmarhead_lib::{ids::LeaseId, lease::Grant};
use std::collections::BTreeMap;
use strum::{Display, EnumIter};

/// Number of a holder: an entry with one request.
pub type HolderNumber = usize;
/// Number of an engine.
pub type EngineNumber = usize;
/// Number of a round in which a holder asks for all its leases.
pub type Attempt = u8;

/// Guarantees of leases.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum Invariant {
    /// A lease ends within three steps of its holder's end.
    LeaseOutlivesHolder,
    /// The engine's memory of a lease is freed within three steps of its holder's end.
    MemoryOutlivesHolder,
    /// Leases hold no more than the engine has.
    Overbooked,
    /// Two holders never wait for each other for ever.
    MutualWait,
}

/// A lease: holder, round and engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key {
    /// Holder of the lease.
    pub holder: HolderNumber,
    /// Round of the holder.
    pub attempt: Attempt,
    /// Engine whose memory is leased.
    pub engine: EngineNumber,
}

impl Key {
    /// Returns the identifier under which the ledger knows the lease.
    pub(super) fn id(self) -> LeaseId {
        LeaseId::from_u128(
            self.holder as u128 * 10_000 + u128::from(self.attempt) * 10 + self.engine as u128,
        )
    }
}

/// What is on the way to an agent or its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Message {
    /// The holder asks for the lease.
    Ask,
    /// The holder renews the lease.
    Renew,
    /// The holder ends the lease.
    Release,
    /// The agent, which has found the lease in force, allocates its memory at the engine.
    Allocate,
}

/// What happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A holder asks for its next lease, perhaps again.
    Ask(HolderNumber),
    /// A holder that has all leases uses one of them.
    Use(Key),
    /// A holder that has all leases renews one of them.
    Renew(Key),
    /// A holder gives up its round because no answer came.
    GiveUp(HolderNumber),
    /// A holder that has all leases has finished.
    Finish(HolderNumber),
    /// A holder dies.
    Die(HolderNumber),
    /// A message arrives, and so does the answer to it. It stays on the way until it is too old,
    /// so that it may arrive again, after later ones, or never.
    Deliver(Message, Key),
    /// A message arrives, and the answer to the holder or the order to the engine is lost.
    DeliverInVain(Message, Key),
    /// An agent dies and starts without state; its engine lives on.
    Restart(EngineNumber),
    /// Time passes: messages get lost, and the agents end what has expired.
    Tick,
}

/// A holder.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Holder {
    pub(super) attempt: Attempt,
    pub(super) stage: Stage,
}

/// How far a holder has got.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum Stage {
    /// It has some leases and asks for the next one.
    Collecting(Vec<Grant>),
    /// It has all leases.
    Held,
    /// It has finished, given up or died.
    Ended,
}

/// State of the model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    pub(super) time: Step,
    pub(super) engines: Vec<Engine>,
    pub(super) holders: Vec<Holder>,
    /// Messages on the way with the time at which they were sent last.
    pub(super) messages: BTreeMap<(Message, Key), Step>,
    /// Rounds that have ended, with the time of the end.
    pub(super) ended: BTreeMap<(HolderNumber, Attempt), Step>,
    /// Restarts of agents that happened.
    pub(super) restarts: u8,
}
