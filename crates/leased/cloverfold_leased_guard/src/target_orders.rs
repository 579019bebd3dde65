//! The orders to the target: starts and stops of runs.
//!
//! Owns the calls that are not answered yet. Relies on the state to decide on orders and on a [`TargetInterface`] to send them.

use std::sync::Arc;

use cloverfold_lease::{StartOrder, StopOrder};
use cloverfold_leased_process::Shared;
use tokio::sync::mpsc;

use crate::event_log::log_stop;
use crate::interface::TargetInterface;
use crate::state::GuardState;

/// An order to the target.
#[derive(Debug)]
pub(crate) enum TargetOrder {
    /// Start a run.
    Start(StartOrder),
    /// Stop a run.
    Stop(StopOrder),
}

/// Sends each order to the target in a task of its own: none waits for the answer to another.
pub(crate) async fn send_orders(
    state: Shared<GuardState>,
    mut orders: mpsc::UnboundedReceiver<TargetOrder>,
    interface: Arc<dyn TargetInterface>,
) {
    while let Some(order) = orders.recv().await {
        match order {
            TargetOrder::Start(order) => send_start(&state, &interface, order),
            TargetOrder::Stop(order) => {
                log_stop(&order);
                tokio::spawn(interface.stop(order));
            }
        }
    }
}

/// Sends a start; its answer goes to the state when it arrives.
fn send_start(state: &Shared<GuardState>, interface: &Arc<dyn TargetInterface>, order: StartOrder) {
    let answer = interface.start(order.clone());
    let state = state.clone();
    tokio::spawn(async move {
        let answer = answer.await;
        state.lock().receive_start_answer(&order, answer);
    });
}
