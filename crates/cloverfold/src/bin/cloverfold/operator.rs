//! What the operators' commands to the guards of a cell share: the cell's file, the operator's keys and the calls.
//!
//! `argh` cannot share options among commands, so each command declares `keys` and `name` itself, with the defaults from here.

use std::path::{Path, PathBuf};
use std::time::Duration;

use cloverfold_claims_process::{list_guard_addresses, open_operator_network};
use cloverfold_claims_settings::CellSettings;
use cloverfold_net::{Network, PeerAddress};
use cloverfold_programs::{RuntimeThreads, start_runtime};
use cloverfold_settings::read_settings;
use eyre::Result;

/// How long a guard may take to answer. Chosen, not measured.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Returns the folder of the operator's keys where none is given.
pub(crate) fn default_keys() -> PathBuf {
    PathBuf::from("keys")
}

/// Returns the name in the operator's certificate where none is given.
pub(crate) fn default_name() -> String {
    "operator-1".into()
}

/// Reads a cell's file and lists its guards.
pub(crate) fn read_guards(cell: &Path) -> Result<Vec<PeerAddress>> {
    let cell: CellSettings = read_settings(cell)?;
    Ok(list_guard_addresses(&cell))
}

/// Opens an endpoint with an operator's keys, runs calls on it and closes it.
///
/// After a failed call the process ends, so the endpoint is not closed in order.
pub(crate) fn run_as_operator<F>(keys: &Path, name: &str, calls: F) -> Result<()>
where
    F: AsyncFnOnce(&Network) -> Result<()>,
{
    start_runtime(RuntimeThreads::PerCore)?.block_on(async {
        let network = open_operator_network(keys, name)?;
        calls(&network).await?;
        network.close().await;
        Ok(())
    })
}
