//! The addresses of entries.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::{Mutex, MutexGuard},
};

/// The control addresses of all entries that this one has heard of, itself included.
///
/// An address is never forgotten: a bound that entries share must hold also for those that are
/// cut off. An entry that is replaced keeps its address or adds one, which makes the shares
/// smaller, never larger.
#[derive(Debug)]
pub(crate) struct Roster {
    own: SocketAddr,
    known: Mutex<BTreeSet<SocketAddr>>,
}

impl Roster {
    /// Returns the roster of the entry at `own`, which knows `seeds` at its start.
    pub(crate) fn new(own: SocketAddr, seeds: &[SocketAddr]) -> Self {
        let known = seeds.iter().copied().chain([own]).collect();
        Self { own, known: Mutex::new(known) }
    }

    /// Adds addresses; returns those that are new.
    pub(crate) fn learn(&self, addresses: &[SocketAddr]) -> Vec<SocketAddr> {
        let mut known = self.lock();
        addresses.iter().copied().filter(|address| known.insert(*address)).collect()
    }

    /// Returns all addresses.
    pub(crate) fn all(&self) -> Vec<SocketAddr> {
        self.lock().iter().copied().collect()
    }

    /// Returns the addresses of the other entries.
    pub(crate) fn others(&self) -> BTreeSet<SocketAddr> {
        self.lock().iter().copied().filter(|address| *address != self.own).collect()
    }

    /// Returns the number of entries, this one included.
    pub(crate) fn size(&self) -> usize {
        self.lock().len()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeSet<SocketAddr>> {
        self.known.lock().expect("no holder of the lock panics")
    }
}
