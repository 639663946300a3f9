//! Allocation of loopback addresses that no other test uses.

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::atomic::{AtomicU16, Ordering},
};

/// First allocated port; below the range of ephemeral ports of outgoing connections.
const FIRST_PORT: u16 = 20_000;

/// Number of allocators that the tests of this process have created.
static FLEET_COUNT: AtomicU16 = AtomicU16::new(0);

/// Allocator of the addresses of one fleet, on a loopback IP address of its own.
///
/// A fixed port can be bound again after a restart of its process. A port chosen by the system
/// might be taken by an outgoing connection in the meantime.
#[derive(Debug)]
pub struct AddressAllocator {
    ip: Ipv4Addr,
    next_port: u16,
}

impl AddressAllocator {
    /// Returns an allocator whose addresses only one fleet uses.
    pub fn new() -> Self {
        let process = std::process::id();
        let fleet = FLEET_COUNT.fetch_add(1, Ordering::Relaxed);
        let [_, _, high, low] = process.to_be_bytes();
        let host = 1 + (fleet % 250) as u8;
        Self { ip: Ipv4Addr::new(127, 64 | (high & 63), low, host), next_port: FIRST_PORT }
    }

    /// Returns an address that was not allocated before.
    pub fn allocate(&mut self) -> SocketAddr {
        let port = self.next_port;
        self.next_port += 1;
        (self.ip, port).into()
    }
}

impl Default for AddressAllocator {
    fn default() -> Self {
        Self::new()
    }
}
