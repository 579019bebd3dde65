//! Plugin that adds the claim replica to a guard: its handlers, background tasks, readiness check and gauge.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use cloverfold_app::{App, BuildError, Plugin};
use cloverfold_base::unix_now;
use cloverfold_claims_core::{CLOCK_MARGIN, ClaimReplica, Placement};
use cloverfold_claims_settings::CellSettings;
use cloverfold_membership::{Directory, LocalState, Membership};
use cloverfold_net::{Peer, PeerRole};
use prometheus_client::metrics::gauge::Gauge;
use tokio::time::sleep;

use crate::claims::{Claims, Inner};
use crate::messages::{
    BootstrapCall, ClaimCall, RecoverCall, RecoveryStateCall, RecoveryStateReport,
};
use crate::recovery::PAGE_LIMIT;

/// How often the readiness state and the gauge are updated.
const STATE_UPDATE_INTERVAL: Duration = Duration::from_millis(200);

/// Adds [`Claims`]; needs [`CellSettings`], [`Directory`], [`Membership`] and [`LocalState`].
pub struct ClaimPlugin {
    /// This guard and its incarnation.
    pub placement: Placement,
}

impl Plugin for ClaimPlugin {
    fn build(self, app: &mut App) -> Result<(), BuildError> {
        let cell = app.resource::<CellSettings>()?;
        let replica = ClaimReplica::new(self.placement, unix_now(), cell.retention, CLOCK_MARGIN);
        let claims = Claims {
            inner: Arc::new(Inner {
                own: self.placement,
                cell: cell.build_cell(),
                directory: app.resource::<Directory>()?,
                network: app.network(),
                membership: (*app.resource::<Membership>()?).clone(),
                replica: app.control().manage(replica),
                attempts: AtomicU64::new(0),
            }),
        };
        app.insert_resource(claims.clone());
        register_handlers(app, &claims);
        register_operator_handlers(app, &claims);
        register_readiness(app, &claims)?;
        app.add_task(claims.clone().recover(app.lifecycle()));
        app.add_task(claims.purge());
        Ok(())
    }
}

fn register_handlers(app: &mut App, claims: &Claims) {
    let served = claims.clone();
    app.router()
        .register(&[PeerRole::Guard], move |_peer: Peer, call: ClaimCall| {
            let claims = served.clone();
            async move { claims.serve(call).await }
        });
    let served = claims.clone();
    app.router()
        .register(&[PeerRole::Guard], move |_peer: Peer, call: RecoverCall| {
            let claims = served.clone();
            async move {
                let cell = claims.inner.cell.clone();
                let replica = &claims.inner.replica;
                replica
                    .with(move |replica| {
                        replica.serve_page(call.asking, call.after, PAGE_LIMIT, &cell)
                    })
                    .await
            }
        });
}

fn register_operator_handlers(app: &mut App, claims: &Claims) {
    let served = claims.clone();
    app.router().register(
        &[PeerRole::Operator],
        move |_peer: Peer, _call: RecoveryStateCall| {
            let claims = served.clone();
            async move {
                let replica = &claims.inner.replica;
                replica
                    .with(|replica| RecoveryStateReport {
                        own: replica.placement(),
                        standing: replica.recovery_state().clone(),
                        records: replica.record_count() as u64,
                    })
                    .await
            }
        },
    );
    let served = claims.clone();
    app.router().register(
        &[PeerRole::Operator],
        move |peer: Peer, call: BootstrapCall| {
            let claims = served.clone();
            async move {
                log::info!(operator = peer.name; "bootstrapping the cell");
                let replica = &claims.inner.replica;
                replica
                    .with(move |replica| replica.bootstrap(&call.incarnations))
                    .await
            }
        },
    );
}

/// Registers the readiness check and the gauge, and the task that updates them.
fn register_readiness(app: &mut App, claims: &Claims) -> Result<(), BuildError> {
    let local_state = app.resource::<LocalState>()?;
    let records = Gauge::<i64>::default();
    app.registry().register(
        "claim_records",
        "Claims held by this replica",
        records.clone(),
    );
    let checked_state = local_state.clone();
    app.add_ready_check(move || {
        if checked_state.is_whole() {
            Ok(())
        } else {
            Err("the replica is recovering, or the cell has not been founded".into())
        }
    });
    let claims = claims.clone();
    app.add_task(async move {
        loop {
            local_state.set_whole(claims.is_whole().await);
            let replica = &claims.inner.replica;
            let count = replica.with(|replica| replica.record_count()).await;
            records.set(count as i64);
            sleep(STATE_UPDATE_INTERVAL).await;
        }
    });
    Ok(())
}
