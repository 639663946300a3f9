//! Memory and descriptors of a process, as Linux reports them.

use super::{child::Process, wait::eventually};
use std::{
    fs, io,
    net::{IpAddr, SocketAddr},
    time::Duration,
};

/// Time after which a test goes on although a process has not read all that it was sent.
const READ_LIMIT: Duration = Duration::from_secs(30);

/// Memory and descriptors that a process uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Usage {
    /// Highest resident memory since the start of the process, in bytes.
    pub peak_memory: u64,
    /// Number of open descriptors.
    pub descriptors: usize,
}

impl Usage {
    /// Reads the usage of a running process.
    ///
    /// # Errors
    ///
    /// Fails if the process has ended.
    pub fn of(process: &Process) -> io::Result<Self> {
        let id = process.id().ok_or(io::ErrorKind::NotFound)?;
        let status = fs::read_to_string(format!("/proc/{id}/status"))?;
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        // A zombie has no memory.
        let peak = peak.ok_or(io::ErrorKind::NotFound)?;
        let kilobytes = peak.trim().trim_end_matches(" kB").parse::<u64>();
        let kilobytes = kilobytes.map_err(|_| io::ErrorKind::InvalidData)?;
        let descriptors = fs::read_dir(format!("/proc/{id}/fd"))?.count();
        Ok(Self { peak_memory: kilobytes << 10, descriptors })
    }
}

/// Waits until the kernel holds no more bytes between a process that listens on the IPv4 address
/// `address` and its clients: the process has read them, or has closed their connections.
///
/// Returns whether that is so after 30 s.
pub async fn wait_all_read(address: SocketAddr) -> bool {
    let condition = "the process has read all bytes";
    let wait =
        eventually(condition, READ_LIMIT, async || (queued_bytes(address) == Ok(0)).then_some(()));
    wait.await.is_ok()
}

/// Returns the number of bytes in the queues of all connections from and to `address`.
fn queued_bytes(address: SocketAddr) -> Result<u64, io::ErrorKind> {
    let table = fs::read_to_string("/proc/net/tcp").map_err(|error| error.kind())?;
    let IpAddr::V4(ip) = address.ip() else { return Err(io::ErrorKind::Unsupported) };
    // The kernel prints the bytes of the address as one number in the order of the machine.
    let name = format!("{:08X}:{:04X}", u32::from_ne_bytes(ip.octets()), address.port());
    let queues = table.lines().skip(1).filter_map(|line| {
        let mut columns = line.split_whitespace().skip(1);
        let (local, remote) = (columns.next()?, columns.next()?);
        // The queue of a listener holds connections, not bytes.
        let is_connection = columns.next()? != LISTEN;
        let queues = columns.next()?.split_once(':')?;
        (is_connection && (local == name || remote == name)).then_some(queues)
    });
    let bytes = |text| u64::from_str_radix(text, 16).map_err(|_| io::ErrorKind::InvalidData);
    queues.map(|(sent, received)| Ok(bytes(sent)? + bytes(received)?)).sum()
}

/// State of a listening socket in the table of the kernel.
const LISTEN: &str = "0A";
