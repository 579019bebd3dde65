//! The loopback addresses of a solo installation.
//!
//! All processes of an installation listen for peers on the same port, so each process needs its own address.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::process;

/// Last octet of the first control process's address.
const FIRST_CONTROL_OCTET: u8 = 1;
/// Last octet of the first entry's address.
const FIRST_ENTRY_OCTET: u8 = 11;
/// Last octet of the first guard's address.
const FIRST_GUARD_OCTET: u8 = 21;
/// Number of ports per address: for peers, external calls and readiness.
const PORTS_PER_ADDRESS: u16 = 3;
/// Maximum attempts to find free ports.
const MAX_ATTEMPTS: u8 = 50;

/// The addresses of the processes of a solo installation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SoloAddresses {
    block: [u8; 3],
    port: u16,
}

impl SoloAddresses {
    /// Finds a block of addresses and ports that are free.
    ///
    /// # Errors
    ///
    /// Returns the system's error if this box has no loopback addresses other than 127.0.0.1, or if no ports are free.
    pub(crate) fn find() -> io::Result<Self> {
        let process_id = process::id();
        for attempt in 0..MAX_ATTEMPTS {
            let block = [127, 1 + (process_id % 200) as u8, attempt];
            let first = Ipv4Addr::new(block[0], block[1], block[2], FIRST_CONTROL_OCTET);
            let port = TcpListener::bind((first, 0))?.local_addr()?.port();
            let found = Self { block, port };
            if port < u16::MAX - PORTS_PER_ADDRESS && found.are_free() {
                return Ok(found);
            }
        }
        Err(io::Error::from(io::ErrorKind::AddrInUse))
    }

    /// Returns whether no other installation uses this block; every installation uses these three addresses.
    fn are_free(&self) -> bool {
        let addresses = [self.control(0), self.entry(0), self.guard(0)];
        let mut ports = self.port..self.port + PORTS_PER_ADDRESS;
        ports.all(|port| {
            let mut addresses = addresses.iter();
            addresses.all(|&ip| TcpListener::bind((ip, port)).is_ok())
        })
    }

    /// Returns the port on which every process listens for peers.
    pub(crate) fn port(&self) -> u16 {
        self.port
    }

    /// Returns the address of a control process by its zero-based index.
    pub(crate) fn control(&self, index: u8) -> IpAddr {
        self.ip(FIRST_CONTROL_OCTET + index)
    }

    /// Returns the address of an entry by its zero-based index.
    pub(crate) fn entry(&self, index: u8) -> IpAddr {
        self.ip(FIRST_ENTRY_OCTET + index)
    }

    /// Returns the address of a guard by its zero-based index.
    pub(crate) fn guard(&self, index: u8) -> IpAddr {
        self.ip(FIRST_GUARD_OCTET + index)
    }

    /// Returns the address on which a process accepts calls of operators, callers or its target.
    pub(crate) fn external(&self, ip: IpAddr) -> SocketAddr {
        SocketAddr::new(ip, self.port + 1)
    }

    /// Returns the readiness address of an entry.
    pub(crate) fn ready(&self, ip: IpAddr) -> SocketAddr {
        SocketAddr::new(ip, self.port + 2)
    }

    fn ip(&self, last_octet: u8) -> IpAddr {
        let [first, second, third] = self.block;
        IpAddr::V4(Ipv4Addr::new(first, second, third, last_octet))
    }
}
