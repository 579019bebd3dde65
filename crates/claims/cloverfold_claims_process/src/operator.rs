//! The network endpoint of an operator, and the addresses of a cell's guards.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::Path;

use cloverfold_claims_settings::CellSettings;
use cloverfold_net::{KeyFiles, Network, NetworkConfig, PeerAddress};

use crate::error::ProcessError;

/// Opens an endpoint with an operator's keys; must be called within a Tokio runtime.
///
/// # Errors
///
/// Returns the error of the key files or of the endpoint.
pub fn open_operator_network(folder: &Path, name: &str) -> Result<Network, ProcessError> {
    let any_port = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);
    let keys = KeyFiles::in_folder(folder, name);
    let config = NetworkConfig::default();
    Ok(Network::bind(any_port, &keys, config, Default::default())?)
}

/// Returns the names and addresses of a cell's guards.
pub fn list_guard_addresses(cell: &CellSettings) -> Vec<PeerAddress> {
    let guards = cell.guards.iter();
    guards
        .map(|guard| PeerAddress {
            name: format!("guard-{}", guard.id),
            address: guard.address,
        })
        .collect()
}
