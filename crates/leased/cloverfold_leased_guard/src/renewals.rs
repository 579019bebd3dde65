//! Lease renewals: a loop that sends one call at a time to the target.
//!
//! Each answer lists the current runs and the ends of runs, so the interval between renewals bounds how soon the guard learns of an end.

use std::sync::Arc;
use std::time::Duration;

use cloverfold_lease::RenewalPause;
use cloverfold_leased_process::Shared;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use crate::interface::TargetInterface;
use crate::state::GuardState;

/// Interval between checks for a target while there is none, unless the state sends a notification earlier.
const TARGET_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Renews the lease for as long as the future is polled; `renew_now` ends the wait for a target and pauses beyond their minimum.
pub(crate) async fn renew_lease(
    state: Shared<GuardState>,
    interface: Arc<dyn TargetInterface>,
    renew_now: Arc<Notify>,
) {
    loop {
        let order = state.lock().plan_renewal();
        let Some(order) = order else {
            // The result is ignored: both a notification and a timeout lead to the next check.
            let _ = timeout(TARGET_CHECK_INTERVAL, renew_now.notified()).await;
            continue;
        };
        let answer = interface.renew(order.clone()).await;
        let pause = state.lock().receive_renewal_answer(&order, answer);
        wait_for_next_renewal(pause, &renew_now).await;
    }
}

async fn wait_for_next_renewal(pause: RenewalPause, renew_now: &Notify) {
    if pause.longest.is_zero() {
        return;
    }
    sleep(pause.shortest).await;
    let rest = pause.longest.saturating_sub(pause.shortest);
    if !rest.is_zero() {
        // The result is ignored: both a notification and a timeout lead to the next renewal.
        let _ = timeout(rest, renew_now.notified()).await;
    }
}
