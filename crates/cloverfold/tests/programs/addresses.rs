//! Loopback addresses of three boxes, unique to a test.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};

pub const BOXES: usize = 3;
/// Offset of the metrics port from the peer port.
const METRICS_OFFSET: u16 = 3;
/// Ports reserved for a box, from its peer port.
const PORTS_PER_BOX: u16 = 10;

/// The addresses of three boxes, which all use the same ports.
pub struct Addresses {
    ip: [Ipv4Addr; BOXES],
    port: u16,
}

impl Addresses {
    /// Derives addresses from the ID of this process and a block number that no other test in this process uses.
    pub fn for_block(block: u8) -> Self {
        let process = 1 + (std::process::id() % 200) as u8;
        let ip = [1, 2, 3].map(|last| Ipv4Addr::new(127, process, block, last));
        let probe = TcpListener::bind((ip[0], 0)).unwrap();
        let port = probe.local_addr().unwrap().port();
        Self {
            ip,
            port: port.min(u16::MAX - PORTS_PER_BOX),
        }
    }

    /// Returns the address of a box at this offset from its peer port.
    pub fn address(&self, index: usize, offset: u16) -> SocketAddr {
        (self.ip[index], self.port + offset).into()
    }

    /// Returns the `peer` settings of a process; `seeds` are indices of boxes.
    pub fn peer_settings(&self, name: &str, index: usize, seeds: &[usize]) -> String {
        let (ip, port, metrics) = (self.ip[index], self.port, self.port + METRICS_OFFSET);
        let seeds: Vec<String> = seeds
            .iter()
            .map(|seed| format!(r#""{}:1""#, self.ip[*seed]))
            .collect();
        let seeds = seeds.join(", ");
        format!(
            r#""peer": {{ "name": "{name}", "hall": "a", "ip": "{ip}", "port": {port}, "seeds": [{seeds}], "metrics_port": {metrics} }}"#
        )
    }
}
