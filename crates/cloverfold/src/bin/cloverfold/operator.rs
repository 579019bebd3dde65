//! Shared parts of the operator commands that call the guards of a cell: default options, the list of guards, and the network endpoint.
//!
//! `argh` cannot share options between commands, so each command declares `keys` and `name` itself, with the defaults from here.

use std::path::{Path, PathBuf};
use std::time::Duration;

use cloverfold_claims_process::{list_guard_addresses, open_operator_network};
use cloverfold_claims_settings::CellSettings;
use cloverfold_net::{Network, PeerAddress};
use cloverfold_programs::{RuntimeThreads, start_runtime};
use cloverfold_settings::read_settings;
use eyre::Result;

/// Timeout of a call to one guard.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Returns the default folder of the operator's keys.
pub(crate) fn default_keys() -> PathBuf {
    PathBuf::from("keys")
}

/// Returns the default name in the operator's certificate.
pub(crate) fn default_name() -> String {
    "operator-1".into()
}

/// Reads a cell's file and lists its guards.
pub(crate) fn read_guards(cell: &Path) -> Result<Vec<PeerAddress>> {
    let cell: CellSettings = read_settings(cell)?;
    Ok(list_guard_addresses(&cell))
}

/// Opens a network endpoint with an operator's keys, runs a command on it and closes the endpoint.
///
/// After an error the endpoint is not closed gracefully, since the process exits.
pub(crate) fn run_as_operator<F>(keys: &Path, name: &str, command: F) -> Result<()>
where
    F: AsyncFnOnce(&Network) -> Result<()>,
{
    start_runtime(RuntimeThreads::PerCore)?.block_on(async {
        let network = open_operator_network(keys, name)?;
        command(&network).await?;
        network.close().await;
        Ok(())
    })
}
