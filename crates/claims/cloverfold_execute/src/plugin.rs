//! Registers the execution of tasks with a guard.

use cloverfold_app::{App, BuildError, Plugin};
use cloverfold_claims_core::{FenceLimits, Placement};
use cloverfold_claims_settings::{CellSettings, GuardSettings};
use cloverfold_membership::{Membership, OwnState};
use cloverfold_net::{Peer, PeerRole, ReplySink};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;

use crate::execution::Execution;
use crate::messages::{Assign, Release};
use crate::runner::Runner;
use crate::target_client::TargetClient;

/// Counts of what happened at the target.
#[derive(Clone, Default)]
pub(crate) struct ExecuteMetrics {
    pub(crate) starts: Counter,
    pub(crate) failures: Counter,
    /// Starts as the target itself counts them.
    pub(crate) reported_starts: Gauge<i64>,
}

/// Runs tasks at the target; needs [`CellSettings`], [`GuardSettings`], [`Membership`] and [`OwnState`].
pub struct ExecutePlugin {
    /// The guard that this process is.
    pub own: Placement,
}

impl Plugin for ExecutePlugin {
    fn build(self, app: &mut App) -> Result<(), BuildError> {
        let settings = app.resource::<GuardSettings>()?;
        let cell = app.resource::<CellSettings>()?;
        let target = TargetClient::new(&settings.target)
            .map_err(|e| BuildError::Unfit(format!("target: {e}")))?;
        let limits = FenceLimits {
            slots: settings.target.slots,
            queue: settings.queue_limit,
            answer_retention: cell.answer_retention,
        };
        let load = app.resource::<OwnState>()?;
        let execution = Execution::new(self.own.incarnation, limits, load);
        let metrics = ExecuteMetrics::default();
        app.registry().register(
            "task_starts",
            "Tasks sent to the target",
            metrics.starts.clone(),
        );
        app.registry().register(
            "task_failures",
            "Tasks that did not end well at the target",
            metrics.failures.clone(),
        );
        app.registry().register(
            "target_reported_starts",
            "Starts as the target itself counts them",
            metrics.reported_starts.clone(),
        );
        let runner = Runner {
            execution: app.control().own(execution),
            target,
            membership: (*app.resource::<Membership>()?).clone(),
            cell,
            metrics,
        };
        let served = runner.clone();
        app.router().register_streaming(
            &[PeerRole::Guard],
            move |_peer: Peer, assign: Assign, sink: ReplySink| {
                served.clone().handle_assign(assign, sink)
            },
        );
        let served = runner.clone();
        app.router()
            .register(&[PeerRole::Guard], move |_peer: Peer, release: Release| {
                served.clone().handle_release(release)
            });
        app.add_drain_step(runner.clone().drain());
        app.add_task(runner.clone().follow_usage());
        app.add_task(runner.collect());
        Ok(())
    }
}
