//! How an order of an operator gets to its decision.
//!
//! Rule: it is submitted to the leader of the moment again and again, each [`PROPOSAL_RESEND_INTERVAL`], until its outcome is known here.
//! What is submitted may be lost on its way, and the leader may change; an order that is in the log already is not appended again.
//!
//! Owns no state. Relies on the caller to bound the wait.

use tokio::time::timeout;

use super::Operators;
use super::replies::PROPOSAL_RESEND_INTERVAL;
use crate::state::ControlState;

impl Operators {
    /// Submits an order until the state here, after each applied entry of the log, tells what became of it.
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
        let mut applied = self.state.lock().follow_applied();
        loop {
            if let Some(outcome) = find_outcome(&self.state.lock()) {
                return outcome;
            }
            // This fails only without a sender, and the state owns it.
            let _ = applied.changed().await;
        }
    }
}
