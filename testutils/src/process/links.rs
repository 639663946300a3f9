//! Network links of a fleet, each through a proxy.

use super::addresses::AddressAllocator;
use crate::proxy::{Mode, Proxy};
use fulmarhead_lib::ids::{EntryId, TargetId};
use std::{collections::BTreeMap, io, net::SocketAddr};

/// Side of a network partition, counted from 0.
pub type Side = usize;

/// Connections from the processes of one side to one process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Link {
    /// From an agent to its target.
    Target(TargetId),
    /// From entries of a side to an agent, for requests.
    Work(Side, TargetId),
    /// From entries of a side to an agent, for control messages.
    Control(Side, TargetId),
    /// From entries and agents of a side to an entry, for control messages.
    Peer(Side, EntryId),
    /// From entries and agents to the configuration service of their side.
    Service(Side),
}

/// Proxies of a fleet, by link.
#[derive(Debug, Default)]
pub(super) struct Links(BTreeMap<Link, Proxy>);

impl Links {
    /// Starts a proxy in front of `server`; returns the address to which clients connect.
    pub(super) async fn add(
        &mut self,
        allocator: &mut AddressAllocator,
        link: Link,
        server: SocketAddr,
    ) -> io::Result<SocketAddr> {
        let proxy = Proxy::start(allocator.allocate(), server).await?;
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

    /// Sets the mode of all links that `is_selected` accepts.
    pub(super) fn set_mode(&self, mode: Mode, is_selected: impl Fn(&Link) -> bool) {
        let selected = self.0.iter().filter(|(link, _)| is_selected(link));
        selected.for_each(|(_, proxy)| proxy.set_mode(mode));
    }
}
