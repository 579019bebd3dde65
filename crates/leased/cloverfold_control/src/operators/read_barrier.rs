//! The proof that the state of this process is the newest.
//!
//! Owns no state. Relies on the leader of the log, which proves that it still leads.

use std::time::Duration;

use tokio::time::{sleep, timeout};

use super::Operators;

/// How long a call waits for the proof that what it reads is the newest. Chosen, not measured (docs/design/7-control.md, "Reads").
const READ_TIMEOUT: Duration = Duration::from_millis(900);
/// Pause after a proof that failed. Chosen, not measured: half a heartbeat of the log.
const READ_RETRY_PAUSE: Duration = Duration::from_millis(40);

impl Operators {
    /// Returns whether the state here is proved to be the newest in time; if not, no leader could prove that it still leads.
    pub(super) async fn is_up_to_date(&self) -> bool {
        let newest = timeout(READ_TIMEOUT, self.wait_until_up_to_date());
        newest.await.is_ok()
    }

    /// Waits until the state here is proved to be as new as any when the call came.
    async fn wait_until_up_to_date(&self) {
        loop {
            let proof = self.state.lock().begin_read();
            // A read that is given up counts as failed.
            if let Ok(Some(index)) = proof.await {
                let mut applied = self.state.lock().follow_applied();
                // This fails only without a sender, and the state owns it.
                let _ = applied.wait_for(|applied| *applied >= index).await;
                return;
            }
            sleep(READ_RETRY_PAUSE).await;
        }
    }
}
