//! Plugin that adds membership to a process: its handlers, heartbeats and drain step.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use cloverfold_app::{App, BuildError, Phase, Plugin};
use cloverfold_claims_core::Placement;
use cloverfold_claims_settings::CellSettings;
use cloverfold_net::{Peer, PeerRole};

use crate::directory::Directory;
use crate::gossip::Gossip;
use crate::local_state::{LocalGuard, LocalState};
use crate::membership::Membership;
use crate::messages::{Heartbeat, Leave};
use crate::metrics::MembershipMetrics;

/// Adds [`Membership`], [`Directory`] and [`LocalState`]; needs [`CellSettings`].
pub struct MembershipPlugin {
    /// This guard and its number of slots, if the process is a guard.
    pub local_guard: Option<(Placement, u32)>,
}

impl Plugin for MembershipPlugin {
    fn build(self, app: &mut App) -> Result<(), BuildError> {
        let cell = app.resource::<CellSettings>()?;
        let directory = app.insert_resource(Directory::new(&cell));
        let state = app.insert_resource(LocalState::default());
        let own = self.build_local_guard(app, &state);
        let membership = Membership::new(&app.control(), app.network(), directory.clone(), own);
        app.insert_resource(membership.clone());
        register_handlers(app, &membership);
        let gossip = Gossip {
            state,
            metrics: MembershipMetrics::register(app),
            network: app.network(),
            directory,
            membership,
            own: self.local_guard.map(|(placement, _)| placement.guard),
        };
        app.add_drain_step(gossip.clone().announce_phase());
        app.add_task(gossip.run(app.lifecycle()));
        Ok(())
    }
}

impl MembershipPlugin {
    fn build_local_guard(
        &self,
        app: &App,
        local_state: &Arc<LocalState>,
    ) -> Option<Arc<LocalGuard>> {
        let (placement, slots) = self.local_guard?;
        Some(Arc::new(LocalGuard {
            placement,
            slots,
            local_state: local_state.clone(),
            lifecycle: app.lifecycle(),
            sequence: AtomicU64::new(0),
        }))
    }
}

fn register_handlers(app: &mut App, membership: &Membership) {
    let served = membership.clone();
    app.router().register(
        &[PeerRole::Entry, PeerRole::Guard, PeerRole::Operator],
        move |_peer: Peer, heartbeat: Heartbeat| {
            let membership = served.clone();
            async move {
                membership.record_reports(heartbeat.reports);
                membership.list_reports().await
            }
        },
    );
    let lifecycle = app.lifecycle();
    app.router()
        .register(&[PeerRole::Operator], move |peer: Peer, _leave: Leave| {
            log::info!(operator = peer.name; "draining at the request of an operator");
            lifecycle.advance_to(Phase::Draining);
            async {}
        });
}
