//! The endpoint of a process to other processes.

use std::net::SocketAddr;

use cloverfold_net::{KeyFiles, NetError, Network, NetworkConfig};
use cloverfold_settings::KeySettings;

/// Opens the endpoint with the keys from the settings; must be called within a runtime.
pub(crate) fn open_network(address: SocketAddr, keys: &KeySettings) -> Result<Network, NetError> {
    let files = KeyFiles {
        authority: keys.authority.clone(),
        certificate: keys.certificate.clone(),
        private_key: keys.private_key.clone(),
    };
    Network::bind(
        address,
        &files,
        NetworkConfig::default(),
        Default::default(),
    )
}
