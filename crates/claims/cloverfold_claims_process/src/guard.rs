//! Starts a guard.

use cloverfold_app::{App, RunningApp};
use cloverfold_base::unix_now;
use cloverfold_claim::ClaimPlugin;
use cloverfold_claims_core::Placement;
use cloverfold_claims_settings::{CellSettings, GuardSettings};
use cloverfold_coordinate::CoordinatePlugin;
use cloverfold_execute::ExecutePlugin;
use cloverfold_membership::MembershipPlugin;
use cloverfold_settings::read_settings;

use crate::endpoint::open_network;
use crate::error::ProcessError;

/// Starts a guard; its incarnation is the current time in microseconds, so that a restarted guard has a larger one.
///
/// # Errors
///
/// Returns [`ProcessError::UnknownGuard`] if the cell's file does not contain the guard, otherwise the error of the
/// settings, the network endpoint or a plugin.
pub async fn start_guard(settings: GuardSettings) -> Result<RunningApp, ProcessError> {
    let cell: CellSettings = read_settings(&settings.cell)?;
    if !cell.guards.iter().any(|guard| guard.id == settings.id) {
        return Err(ProcessError::UnknownGuard(settings.id));
    }
    let placement = Placement {
        guard: settings.id,
        incarnation: unix_now().as_micros() as u64,
    };
    let network = open_network(settings.peer_address, &settings.keys)?;
    let http_address = settings.http_address;
    let slots = settings.target.slots as u32;
    let mut app = App::new(&format!("guard-{}", settings.id), network)?;
    app.insert_resource(cell);
    app.insert_resource(settings);
    app.add_plugin(MembershipPlugin {
        local_guard: Some((placement, slots)),
    })?
    .add_plugin(ClaimPlugin { placement })?
    .add_plugin(ExecutePlugin { placement })?
    .add_plugin(CoordinatePlugin)?;
    Ok(app.start(http_address).await?)
}
