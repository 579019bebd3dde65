//! Services and state that all jobs of one guard share.

use std::sync::{Arc, Mutex, PoisonError};

use cloverfold_base::UnixTime;
use cloverfold_claim::Claims;
use cloverfold_claims_core::{RetryBudget, Submission};
use cloverfold_claims_settings::CellSettings;
use cloverfold_membership::{Directory, Membership};
use cloverfold_net::Network;

use crate::admitter::Admitter;
use crate::metrics::CoordinateMetrics;

/// Services for the drivers and assignments of jobs, and the retry budget of the process.
pub(crate) struct JobContext {
    pub(crate) admitter: Admitter,
    pub(crate) claims: Claims,
    pub(crate) membership: Membership,
    pub(crate) directory: Arc<Directory>,
    pub(crate) network: Network,
    pub(crate) cell: Arc<CellSettings>,
    pub(crate) retry_budget: Mutex<RetryBudget>,
    pub(crate) metrics: CoordinateMetrics,
}

impl JobContext {
    /// Returns whether this guard currently leads the cell.
    pub(crate) async fn is_acting_lead(&self) -> bool {
        let lead = self.membership.find_acting_lead().await;
        lead == Some(self.claims.placement().guard)
    }

    /// Returns until when fences must keep entries for the tasks of a submission.
    pub(crate) fn keep_until(&self, submission: &Submission) -> UnixTime {
        submission.submitted_at + self.cell.retention * 2
    }

    /// Spends one retry; returns whether the budget allows it.
    pub(crate) fn take_retry(&self) -> bool {
        let budget = self.retry_budget.lock();
        let is_allowed = budget.unwrap_or_else(PoisonError::into_inner).take_retry();
        if is_allowed {
            self.metrics.retries.inc();
        }
        is_allowed
    }

    /// Adds the tokens of a successful task to the retry budget.
    pub(crate) fn record_success(&self) {
        let budget = self.retry_budget.lock();
        budget
            .unwrap_or_else(PoisonError::into_inner)
            .record_success();
    }
}
