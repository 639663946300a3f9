//! Network connections of a fleet, each through a proxy.

use super::addresses::Addresses;
use crate::proxy::{Mode, Proxy};
use fulmarhead_lib::ids::{EntryId, TargetId};
use std::{collections::BTreeMap, io, net::SocketAddr};

/// One side of a network that may split, counted from 0.
pub type Side = usize;

/// Connections from the processes of one side to one other process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Link {
    /// From an agent to its target.
    Target(TargetId),
    /// From entries to an agent, with work.
    Work(Side, TargetId),
    /// From entries to an agent, with control messages.
    Control(Side, TargetId),
    /// From entries and agents to an entry, with control messages.
    Peer(Side, EntryId),
    /// From entries and agents to the configuration service of their side.
    Service(Side),
}

/// The proxies of a fleet.
#[derive(Debug, Default)]
pub(super) struct Links(BTreeMap<Link, Proxy>);

impl Links {
    /// Puts a proxy in front of `server`; returns the address for clients.
    pub(super) async fn add(
        &mut self,
        addresses: &mut Addresses,
        link: Link,
        server: SocketAddr,
    ) -> io::Result<SocketAddr> {
        let proxy = Proxy::start(addresses.take(), server).await?;
        let address = proxy.address();
        self.0.insert(link, proxy);
        Ok(address)
    }

    pub(super) fn get(&self, link: &Link) -> &Proxy {
        self.0.get(link).unwrap_or_else(|| panic!("the fleet has no link {link:?}"))
    }

    pub(super) fn address(&self, link: &Link) -> SocketAddr {
        self.get(link).address()
    }

    /// Sets the mode of all links for which `is_chosen` holds.
    pub(super) fn set_all(&self, mode: Mode, is_chosen: impl Fn(&Link) -> bool) {
        let chosen = self.0.iter().filter(|(link, _)| is_chosen(link));
        chosen.for_each(|(_, proxy)| proxy.set(mode));
    }
}
