//! The renewals of the target's lease: one call at a time, again and again.
//!
//! Each answer lists what runs and what has ended, so that an end is noticed as fast as the calls follow one another. Owns the pauses
//! between calls. Relies on the state to plan each renewal and on a [`TargetInterface`] to send it.

use std::sync::Arc;
use std::time::Duration;

use cloverfold_lease::{RenewalAnswer, RenewalOrder};
use cloverfold_leased_process::Shared;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use crate::interface::TargetInterface;
use crate::state::GuardState;

/// Pause after a renewal that was not answered, or that listed runs which are being stopped. 30 ms before; with shorter waits for
/// answers and more starts the benches' day of lost answers rose from 0.853 to 0.862 (commit 17223cb).
const RENEWAL_PAUSE: Duration = Duration::from_millis(10);
/// Pause after a renewal that was not answered by a target that accepts no work, since each costs a connection: 11,410 connections on the
/// day of lost answers without it, 8,745 with it (commit 17223cb).
const UNREADY_PAUSE: Duration = Duration::from_millis(60);
/// How long to wait before looking again whether there is a target, unless the state notifies earlier. Chosen, not measured.
const NO_TARGET_PAUSE: Duration = Duration::from_millis(200);

/// Renews the lease for as long as the future is polled; `renew_now` ends the wait for a target.
pub(crate) async fn keep_renewing(
    state: Shared<GuardState>,
    interface: Arc<dyn TargetInterface>,
    renew_now: Arc<Notify>,
) {
    loop {
        let order = state.lock().plan_renewal();
        let Some(order) = order else {
            // Harmless: whether it is notified or the wait is over, it looks again.
            let _ = timeout(NO_TARGET_PAUSE, renew_now.notified()).await;
            continue;
        };
        let answer = interface.renew(order.clone()).await;
        let pause = receive_answer(&state, &order, answer);
        if let Some(pause) = pause {
            sleep(pause).await;
        }
    }
}

/// Passes an answer to the state and returns the pause before the next renewal.
fn receive_answer(
    state: &Shared<GuardState>,
    order: &RenewalOrder,
    answer: RenewalAnswer,
) -> Option<Duration> {
    let is_listed = matches!(answer, RenewalAnswer::Listed { .. });
    let mut state = state.lock();
    state.receive_renewal_answer(order, answer);
    if is_listed {
        // Without a deadline the lease is not renewed yet: runs that are not this guard's are being stopped.
        order.deadline.is_none().then_some(RENEWAL_PAUSE)
    } else if state.has_ready_target() {
        Some(RENEWAL_PAUSE)
    } else {
        Some(UNREADY_PAUSE)
    }
}
