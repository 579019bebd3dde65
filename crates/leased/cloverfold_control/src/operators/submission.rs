//! Submission of operator orders with retries.
//!
//! A submission may be lost and the leader may change, so an order is resubmitted to the current leader every
//! [`PROPOSAL_RESEND_INTERVAL`] until its outcome is known locally. The leader does not append an order that is already in its log.

use tokio::time::timeout;

use super::OperatorApi;
use super::replies::PROPOSAL_RESEND_INTERVAL;
use crate::state::ControlState;

impl OperatorApi {
    /// Submits an order repeatedly until `find_outcome` returns its outcome. The caller must set a timeout.
    pub(super) async fn submit_until_decided<T>(
        &self,
        submit: impl Fn(&mut ControlState),
        find_outcome: impl Fn(&ControlState) -> Option<T>,
    ) -> T {
        loop {
            submit(&mut self.state.lock());
            let outcome = self.wait_for_outcome(&find_outcome);
            if let Ok(outcome) = timeout(PROPOSAL_RESEND_INTERVAL, outcome).await {
                return outcome;
            }
        }
    }

    async fn wait_for_outcome<T>(&self, find_outcome: impl Fn(&ControlState) -> Option<T>) -> T {
        let mut applied = self.state.lock().subscribe_applied();
        loop {
            if let Some(outcome) = find_outcome(&self.state.lock()) {
                return outcome;
            }
            // Fails only without a sender, which the state owns.
            let _ = applied.changed().await;
        }
    }
}
