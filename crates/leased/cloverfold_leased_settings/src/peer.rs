//! What every process of a leased installation is told: its name, its address and the seeds.
//!
//! Owns the checks of [`PeerSettings`]; relies on nothing else.

use std::net::{IpAddr, SocketAddr};

use cloverfold_settings::ValidationErrors;
use serde::Deserialize;

/// What all processes of a leased installation are told.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    /// Name of this process; no other has it.
    pub name: String,
    /// The data hall it stands in: an order to evacuate it is carried out by this name.
    #[serde(rename = "hall")]
    pub data_hall: String,
    /// Address of this box, by which the other processes reach it.
    pub ip: IpAddr,
    /// Address on which it listens to the others, if that is not `ip`: where a relay or a translation of addresses stands before the
    /// box.
    #[serde(default)]
    pub listen_ip: Option<IpAddr>,
    /// TCP port at which every process of the installation listens to the others.
    pub port: u16,
    /// Control processes at the start, by any address of theirs; only the IP address counts.
    pub seeds: Vec<SocketAddr>,
    /// TCP port of `/healthz`, `/readyz` and `/metrics`; none are served without.
    pub metrics_port: Option<u16>,
}

impl PeerSettings {
    /// Returns where the other processes reach this one.
    pub fn address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.port)
    }

    /// Returns where this process listens to the others.
    pub fn listen_address(&self) -> SocketAddr {
        SocketAddr::new(self.listen_ip.unwrap_or(self.ip), self.port)
    }

    /// Returns where the seeds listen to other processes, in order.
    pub fn seed_addresses(&self) -> Vec<SocketAddr> {
        let seeds = self.seeds.iter();
        let mut addresses: Vec<_> = seeds
            .map(|seed| SocketAddr::new(seed.ip(), self.port))
            .collect();
        addresses.sort_unstable();
        addresses.dedup();
        addresses
    }

    /// Returns where the metrics are served.
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
