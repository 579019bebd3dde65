//! Plugin that adds the execution of tasks to a guard: its handlers, background tasks and drain step.

use cloverfold_app::{App, BuildError, Plugin};
use cloverfold_claims_core::{FenceLimits, Placement};
use cloverfold_claims_settings::{CellSettings, GuardSettings};
use cloverfold_membership::{LocalState, Membership};
use cloverfold_net::{Peer, PeerRole, ReplySink};

use crate::execution::Execution;
use crate::messages::{Assign, Release};
use crate::metrics::ExecuteMetrics;
use crate::target_client::TargetClient;
use crate::task_runner::TaskRunner;

/// Runs tasks at the target; needs [`CellSettings`], [`GuardSettings`], [`Membership`] and [`LocalState`].
pub struct ExecutePlugin {
    /// This guard and its incarnation.
    pub placement: Placement,
}

impl Plugin for ExecutePlugin {
    fn build(self, app: &mut App) -> Result<(), BuildError> {
        let runner = self.build_runner(app)?;
        register_handlers(app, &runner);
        app.add_drain_step(runner.clone().drain());
        app.add_task(runner.clone().poll_usage());
        app.add_task(runner.purge());
        Ok(())
    }
}

impl ExecutePlugin {
    fn build_runner(&self, app: &mut App) -> Result<TaskRunner, BuildError> {
        let settings = app.resource::<GuardSettings>()?;
        let cell = app.resource::<CellSettings>()?;
        let target = TargetClient::new(&settings.target)
            .map_err(|e| BuildError::InvalidSetting(format!("target: {e}")))?;
        let limits = FenceLimits {
            slots: settings.target.slots,
            queue: settings.queue_limit,
            answer_retention: cell.answer_retention,
        };
        let local_state = app.resource::<LocalState>()?;
        let execution = Execution::new(self.placement.incarnation, limits, local_state);
        let membership = app.resource::<Membership>()?;
        Ok(TaskRunner {
            execution: app.control().manage(execution),
            target,
            membership: (*membership).clone(),
            cell,
            metrics: ExecuteMetrics::register(app),
        })
    }
}

fn register_handlers(app: &mut App, runner: &TaskRunner) {
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
}
