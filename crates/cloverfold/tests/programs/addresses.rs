//! Loopback addresses of three boxes that no other test uses.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};

/// Number of boxes.
pub const BOXES: usize = 3;
/// Port of the metrics page, from the peer port.
const METRICS_OFFSET: u16 = 3;
/// Ports above the peer port that a box may use.
const USED_PORTS: u16 = 10;

/// The addresses of three boxes; all use the same ports.
pub struct Addresses {
    ip: [Ipv4Addr; BOXES],
    port: u16,
}

impl Addresses {
    /// Chooses addresses by the number of this process and a block that no other test of the process uses.
    pub fn choose(block: u8) -> Self {
        let process = 1 + (std::process::id() % 200) as u8;
        let ip = [1, 2, 3].map(|last| Ipv4Addr::new(127, process, block, last));
        let probe = TcpListener::bind((ip[0], 0)).unwrap();
        let port = probe.local_addr().unwrap().port();
        Self {
            ip,
            port: port.min(u16::MAX - USED_PORTS),
        }
    }

    /// Returns the address of a box at an offset from its peer port.
    pub fn at(&self, index: usize, offset: u16) -> SocketAddr {
        (self.ip[index], self.port + offset).into()
    }

    /// Writes the `peer` settings of a process; the seeds are boxes.
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
