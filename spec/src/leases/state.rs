//! State and events of the lease model.

use super::engine::Engine;
use crate::clock::Step;
use fulmarhead_lib::{ids::LeaseId, lease::Grant};
use std::collections::BTreeMap;
use strum::{Display, EnumIter};

/// Index of a holder, which is an entry with one request.
pub type HolderIndex = usize;
/// Index of an engine.
pub type EngineIndex = usize;
/// Number of a holder's attempt to reserve all its leases.
pub type Attempt = u8;

/// Invariants of leases. Each variant is named after the violation of its rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum Invariant {
    /// A lease ends within `CLEANUP_STEPS` steps after its holder's attempt ended or its agent
    /// started, whichever is later.
    LeaseOutlivesAttempt,
    /// An engine frees the memory of a lease within `CLEANUP_STEPS` steps after the holder's
    /// attempt ended or the agent started, whichever is later.
    MemoryOutlivesAttempt,
    /// The leases of an engine hold no more memory than it has.
    Overcommitted,
    /// Holders never wait for each other indefinitely.
    Deadlock,
}

/// Identity of a lease: one holder reserves memory of one engine in one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseKey {
    /// Holder that reserves the memory.
    pub holder: HolderIndex,
    /// Attempt of the holder.
    pub attempt: Attempt,
    /// Engine whose memory is leased.
    pub engine: EngineIndex,
}

impl LeaseKey {
    /// Returns the lease identifier that the ledger uses.
    pub(super) fn id(self) -> LeaseId {
        LeaseId::from_u128(
            self.holder as u128 * 10_000 + u128::from(self.attempt) * 10 + self.engine as u128,
        )
    }
}

/// Message in flight to an agent or its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Message {
    /// The holder requests the lease.
    Reserve,
    /// The holder renews the lease.
    Renew,
    /// The holder releases the lease.
    Release,
    /// The agent has found the lease active and orders the engine to allocate its memory.
    Allocate,
}

/// Transitions of the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A holder requests its next lease, or repeats the request.
    RequestLease(HolderIndex),
    /// A holder that has all its leases uses one of them.
    UseLease(LeaseKey),
    /// A holder that has all its leases renews one of them.
    RenewLease(LeaseKey),
    /// A holder abandons its attempt because no reply arrived.
    AbandonAttempt(HolderIndex),
    /// A holder that has all its leases finishes and releases them.
    FinishAttempt(HolderIndex),
    /// A holder crashes.
    CrashHolder(HolderIndex),
    /// A message is delivered, and so is the reply. The message stays in flight until it expires,
    /// so it may also be duplicated, reordered or lost.
    Deliver(Message, LeaseKey),
    /// A message is delivered, but what follows it is lost: the reply to a `Reserve`, or the order
    /// to the engine to free the memory after a `Release`.
    DeliverWithoutFollowUp(Message, LeaseKey),
    /// An agent crashes and restarts without state; its engine keeps running.
    RestartAgent(EngineIndex),
    /// Time advances by one step: messages older than `MESSAGE_LIFETIME_STEPS` are dropped, and
    /// agents end expired leases and free memory without a lease.
    Tick,
}

/// State of a holder.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Holder {
    pub(super) attempt: Attempt,
    pub(super) stage: Stage,
}

/// Stage of a holder's current attempt.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum Stage {
    /// The holder has been granted some leases and requests the next one.
    Acquiring(Vec<Grant>),
    /// The holder has all its leases.
    HoldsAll,
    /// The holder has finished, abandoned its last attempt or crashed.
    Ended,
}

/// State of the lease model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    pub(super) time: Step,
    pub(super) engines: Vec<Engine>,
    pub(super) holders: Vec<Holder>,
    /// Messages in flight, each with the step at which it was last sent.
    pub(super) messages: BTreeMap<(Message, LeaseKey), Step>,
    /// Attempts that have ended, each with the step at which it ended.
    pub(super) ended_attempts: BTreeMap<(HolderIndex, Attempt), Step>,
    /// Number of agent restarts so far.
    pub(super) restarts: u8,
}
