//! Sends start and stop orders to the target.

use std::sync::Arc;

use cloverfold_lease::{StartOrder, StopOrder};
use cloverfold_leased_process::Shared;
use tokio::sync::mpsc;

use crate::event_log::log_stop;
use crate::interface::TargetInterface;
use crate::state::GuardState;

#[derive(Debug)]
pub(crate) enum TargetOrder {
    Start(StartOrder),
    Stop(StopOrder),
}

/// Sends each order to the target in its own task, so that no order waits for the answer to another.
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

/// Sends a start and passes its answer to the state.
fn send_start(state: &Shared<GuardState>, interface: &Arc<dyn TargetInterface>, order: StartOrder) {
    let answer = interface.start(order.clone());
    let state = state.clone();
    tokio::spawn(async move {
        let answer = answer.await;
        state.lock().receive_start_answer(&order, answer);
    });
}
