//! Settings that all processes of a leased installation have: name, addresses and seeds.

use std::net::{IpAddr, SocketAddr};

use cloverfold_settings::ValidationErrors;
use serde::Deserialize;

/// Settings that all processes of a leased installation have.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    /// Unique name of this process.
    pub name: String,
    /// Data hall of this process; evacuation orders refer to it by this name.
    #[serde(rename = "hall")]
    pub data_hall: String,
    /// IP address by which other processes reach this one.
    pub ip: IpAddr,
    /// IP address to listen on, if it differs from `ip` because of a relay or address translation in front of the box.
    #[serde(default)]
    pub listen_ip: Option<IpAddr>,
    /// TCP port on which every process of the installation accepts links.
    pub port: u16,
    /// Addresses of initial control processes; only the IP address counts.
    pub seeds: Vec<SocketAddr>,
    /// TCP port of `/healthz`, `/readyz` and `/metrics`, which are not served without it.
    pub metrics_port: Option<u16>,
}

impl PeerSettings {
    /// Returns the address by which other processes reach this one.
    pub fn address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.port)
    }

    /// Returns the address on which this process accepts links.
    pub fn listen_address(&self) -> SocketAddr {
        SocketAddr::new(self.listen_ip.unwrap_or(self.ip), self.port)
    }

    /// Returns the addresses on which the seeds accept links, sorted and without duplicates.
    pub fn seed_addresses(&self) -> Vec<SocketAddr> {
        let seeds = self.seeds.iter();
        let mut addresses: Vec<_> = seeds
            .map(|seed| SocketAddr::new(seed.ip(), self.port))
            .collect();
        addresses.sort_unstable();
        addresses.dedup();
        addresses
    }

    /// Returns the address that serves the metrics.
    pub fn metrics_address(&self) -> Option<SocketAddr> {
        self.metrics_port.map(|port| SocketAddr::new(self.ip, port))
    }

    pub(crate) fn validate(&self, errors: &mut ValidationErrors) {
        errors.add_if(self.name.is_empty(), "peer.name", "must not be empty");
        errors.add_if(
            self.port == 0,
            "peer.port",
            "must be above 0, the same for all processes",
        );
        errors.add_if(
            self.seeds.is_empty(),
            "peer.seeds",
            "must name at least one control process",
        );
        errors.add_if(
            self.metrics_port == Some(self.port),
            "peer.metrics_port",
            "must differ from peer.port",
        );
    }
}
