//! Starts an entry.

use cloverfold_app::{App, RunningApp};
use cloverfold_claims_settings::{CellSettings, EntrySettings};
use cloverfold_entry::EntryPlugin;
use cloverfold_membership::MembershipPlugin;
use cloverfold_settings::read_settings;

use crate::endpoint::open_network;
use crate::error::ProcessError;

/// Starts an entry.
///
/// # Errors
///
/// Returns the error of the settings, the network endpoint or a plugin.
pub async fn start_entry(settings: EntrySettings) -> Result<RunningApp, ProcessError> {
    let cell: CellSettings = read_settings(&settings.cell)?;
    let network = open_network(settings.peer_address, &settings.keys)?;
    let http_address = settings.http_address;
    let name = settings.name.clone();
    let mut app = App::new(&name, network)?;
    app.insert_resource(cell);
    app.insert_resource(settings);
    app.add_plugin(MembershipPlugin { local_guard: None })?
        .add_plugin(EntryPlugin)?;
    Ok(app.start(http_address).await?)
}
