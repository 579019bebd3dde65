//! Finds free addresses on this box, for tests and measurements.
//!
//! A port is not reserved: another process may bind it before it is used.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicU16, Ordering};

/// First port to try. All candidates are below 32768, the start of the ephemeral port range of Linux, so that no outgoing connection
/// takes a port between its choice and its use.
const FIRST_PORT: u16 = 11_000;
/// Number of candidate ports.
const PORT_COUNT: u16 = 20_000;
/// Distance between the first candidates of processes with consecutive process ids; prime, so that they spread over all ports.
const PROCESS_STRIDE: u32 = 997;

/// Index of the next candidate, relative to the first candidate of this process.
static NEXT_CANDIDATE: AtomicU16 = AtomicU16::new(0);

/// Finds loopback addresses whose ports are free for TCP and UDP. Calls in one process do not return the same address again.
///
/// # Errors
///
/// Returns `AddrInUse` if no port is free.
pub fn find_free_addresses(count: usize) -> io::Result<Vec<SocketAddr>> {
    (0..count).map(|_| find_free_address()).collect()
}

fn find_free_address() -> io::Result<SocketAddr> {
    let offset = (std::process::id() % u32::from(PORT_COUNT)) as u16;
    for _ in 0..PORT_COUNT {
        let candidate = NEXT_CANDIDATE.fetch_add(1, Ordering::Relaxed) % PORT_COUNT;
        let candidate =
            (u32::from(candidate) + u32::from(offset) * PROCESS_STRIDE) % u32::from(PORT_COUNT);
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, FIRST_PORT + candidate as u16));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err(io::Error::new(
        io::ErrorKind::AddrInUse,
        "no port is free on this box",
    ))
}
