//! Services and state that all jobs of one guard share.
//!
//! Passed to the plan, the driver and the assignments of each job. Owns the retry budget of the process; the other fields are
//! handles to services that the plugin has set up. Relies on [`Membership`] for who leads and on [`Claims`] for the own guard.

use std::sync::{Arc, Mutex, PoisonError};

use cloverfold_base::UnixTime;
use cloverfold_claim::Claims;
use cloverfold_claims_core::{RetryBudget, Submission};
use cloverfold_claims_settings::CellSettings;
use cloverfold_membership::{Directory, Membership};
use cloverfold_net::Network;

use crate::admitter::Admitter;
use crate::metrics::CoordinateMetrics;

/// The services that a job's driver and its assignments use, and the retry budget of the process.
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
    /// Returns whether this guard coordinates all jobs of the cell now.
    pub(crate) async fn is_acting_lead(&self) -> bool {
        let lead = self.membership.find_acting_lead().await;
        lead == Some(self.claims.placement().guard)
    }

    /// Returns until when fences must remember the tasks of a submission.
    pub(crate) fn keep_until(&self, submission: &Submission) -> UnixTime {
        submission.submitted_at + self.cell.retention * 2
    }

    /// Takes one retry out of the budget; returns whether there was one.
    pub(crate) fn take_retry(&self) -> bool {
        let budget = self.retry_budget.lock();
        let is_allowed = budget.unwrap_or_else(PoisonError::into_inner).take_retry();
        if is_allowed {
            self.metrics.retries.inc();
        }
        is_allowed
    }

    /// Adds the share of a retry that a successful task earns.
    pub(crate) fn record_success(&self) {
        let budget = self.retry_budget.lock();
        budget
            .unwrap_or_else(PoisonError::into_inner)
            .record_success();
    }
}
