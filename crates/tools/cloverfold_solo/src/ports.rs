//! Free addresses on this box, for tests and measurements.
//!
//! Owns the place of the next port in this process. Relies on other processes to leave the port alone until it is used.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicU16, Ordering};

/// First port to try. With [`PORT_COUNT`] it stays below 32768, where Linux begins to draw ports for outgoing connections, so that none
/// is taken between the choice and its use.
const FIRST_PORT: u16 = 11_000;
/// How many ports there are to try.
const PORT_COUNT: u16 = 20_000;
/// Distance of the first ports of processes with neighbouring numbers; prime, so that they spread over all ports.
const PROCESS_STRIDE: u32 = 997;

/// Place of the next port to try; each process begins somewhere else.
static NEXT_PLACE: AtomicU16 = AtomicU16::new(0);

/// Finds addresses whose ports are free for TCP and UDP; no two calls in one process return the same.
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
        let place = NEXT_PLACE.fetch_add(1, Ordering::Relaxed) % PORT_COUNT;
        let place = (u32::from(place) + u32::from(offset) * PROCESS_STRIDE) % u32::from(PORT_COUNT);
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, FIRST_PORT + place as u16));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err(io::Error::new(
        io::ErrorKind::AddrInUse,
        "no port is free on this box",
    ))
}
