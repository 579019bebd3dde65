//! The read barrier that makes operator reads linearizable.

use std::time::Duration;

use tokio::time::{sleep, timeout};

use super::OperatorApi;

/// How long a call waits for the read barrier.
const READ_TIMEOUT: Duration = Duration::from_millis(900);
/// Delay before a failed read is retried; half the heartbeat interval of the log.
const READ_RETRY_DELAY: Duration = Duration::from_millis(40);

impl OperatorApi {
    /// Waits until the local state includes all entries committed before this call. Returns `false` after a timeout, when no leader could
    /// confirm its leadership.
    pub(super) async fn is_up_to_date(&self) -> bool {
        let up_to_date = timeout(READ_TIMEOUT, self.wait_until_up_to_date());
        up_to_date.await.is_ok()
    }

    /// Retries the read until the local state includes all entries committed before this call.
    async fn wait_until_up_to_date(&self) {
        loop {
            let read = self.state.lock().begin_read();
            // A dropped read counts as failed.
            if let Ok(Some(index)) = read.await {
                let mut applied = self.state.lock().subscribe_applied();
                // Fails only without a sender, which the state owns.
                let _ = applied.wait_for(|applied| *applied >= index).await;
                return;
            }
            sleep(READ_RETRY_DELAY).await;
        }
    }
}
