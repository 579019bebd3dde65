//! The network endpoint of a process.

use std::net::SocketAddr;

use cloverfold_net::{KeyFiles, NetError, Network, NetworkConfig};
use cloverfold_settings::KeySettings;

/// Opens the endpoint with the keys in the settings; must be called within a Tokio runtime.
pub(crate) fn open_network(address: SocketAddr, keys: &KeySettings) -> Result<Network, NetError> {
    let files = KeyFiles {
        authority: keys.authority.clone(),
        certificate: keys.certificate.clone(),
        private_key: keys.private_key.clone(),
    };
    let config = NetworkConfig::default();
    Network::bind(address, &files, config, Default::default())
}
