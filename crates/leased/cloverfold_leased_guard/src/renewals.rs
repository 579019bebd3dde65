//! The renewals of the target's lease: one call at a time, again and again.
//!
//! Each answer lists what runs and what has ended, so that an end is noticed as fast as the calls follow one another. Owns the pauses
//! between calls, as the runner decides them. Relies on the state to plan each renewal and on a [`TargetInterface`] to send it.

use std::sync::Arc;
use std::time::Duration;

use cloverfold_lease::RenewalPause;
use cloverfold_leased_process::Shared;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use crate::interface::TargetInterface;
use crate::state::GuardState;

/// How long to wait before looking again whether there is a target, unless the state notifies earlier.
const NO_TARGET_PAUSE: Duration = Duration::from_millis(200);

/// Renews the lease for as long as the future is polled; `renew_now` ends the wait for a target and the longer pauses.
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
        let pause = state.lock().receive_renewal_answer(&order, answer);
        wait(pause, &renew_now).await;
    }
}

/// Waits between two renewals.
async fn wait(pause: RenewalPause, renew_now: &Notify) {
    if pause.longest.is_zero() {
        return;
    }
    sleep(pause.shortest).await;
    let rest = pause.longest.saturating_sub(pause.shortest);
    if !rest.is_zero() {
        // Harmless: whether it is notified or the wait is over, the next renewal goes out.
        let _ = timeout(rest, renew_now.notified()).await;
    }
}
