//! Loopback addresses that no other test uses.

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::atomic::{AtomicU16, Ordering},
};

/// First port; below the range from which the system takes ports of outgoing connections.
const FIRST_PORT: u16 = 20_000;

/// Fleets that the tests of this process have started.
static FLEETS: AtomicU16 = AtomicU16::new(0);

/// Addresses of one fleet, on an IP address of its own.
///
/// Ports stay the same when a process is restarted, which ports chosen by the system may not: an
/// outgoing connection may take a port that its process has just left.
#[derive(Debug)]
pub struct Addresses {
    ip: Ipv4Addr,
    next: u16,
}

impl Addresses {
    /// Returns addresses that only this fleet uses.
    pub fn new() -> Self {
        let process = std::process::id();
        let fleet = FLEETS.fetch_add(1, Ordering::Relaxed);
        let [_, _, high, low] = process.to_be_bytes();
        let last = 1 + (fleet % 250) as u8;
        Self { ip: Ipv4Addr::new(127, 64 | (high & 63), low, last), next: FIRST_PORT }
    }

    /// Returns an address that was not handed out before.
    pub fn take(&mut self) -> SocketAddr {
        let port = self.next;
        self.next += 1;
        (self.ip, port).into()
    }
}

impl Default for Addresses {
    fn default() -> Self {
        Self::new()
    }
}
