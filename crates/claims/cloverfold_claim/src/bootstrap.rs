//! Bootstrap of a cell by the operator.
//!
//! A guard keeps its votes in memory only and cannot tell its first start from a restart, so it does not vote until it
//! has recovered. On the first start of the cell the operator declares once that no guard has ever voted.

use std::time::Duration;

use cloverfold_claims_core::RecoveryState;
use cloverfold_net::{CallError, Network, PeerAddress};

use crate::messages::{BootstrapCall, RecoveryStateCall, RecoveryStateReport};

/// Timeout of one guard's answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Why a cell was not bootstrapped.
#[derive(Debug, thiserror::Error)]
pub enum BootstrapError {
    /// A guard did not answer; the bootstrap needs every guard.
    #[error("{guard} did not answer ({cause}); start every guard of the cell, then found it again")]
    Unreachable {
        /// Name of the guard.
        guard: String,
        /// Error of the call.
        cause: CallError,
    },
    /// A guard has complete claim records, so the cell was bootstrapped before.
    #[error(
        "the cell was founded before ({0} is whole); a restarted guard recovers by itself, and after \
         the loss of a majority the cell serves again when the retention has passed"
    )]
    AlreadyBootstrapped(String),
    /// A guard restarted during the bootstrap.
    #[error("{0} restarted meanwhile and will recover by itself from the others")]
    Restarted(String),
}

/// Declares that no guard of the cell has ever voted, so that all of them serve immediately.
///
/// # Errors
///
/// Returns the guard that did not answer, had complete records before, or restarted meanwhile. Guards that were
/// bootstrapped before the error keep serving.
pub async fn bootstrap_cell(
    network: &Network,
    guards: &[PeerAddress],
) -> Result<Vec<RecoveryStateReport>, BootstrapError> {
    let reports = read_recovery_states(network, guards).await?;
    for (guard, report) in guards.iter().zip(&reports) {
        if report.standing == RecoveryState::Whole {
            return Err(BootstrapError::AlreadyBootstrapped(guard.name.clone()));
        }
    }
    let incarnations: Vec<_> = reports.iter().map(|report| report.own).collect();
    for guard in guards {
        let call = BootstrapCall {
            incarnations: incarnations.clone(),
        };
        let is_whole = network
            .call(guard, &call, CALL_TIMEOUT)
            .await
            .map_err(|cause| unreachable_guard(guard, cause))?;
        if !is_whole {
            return Err(BootstrapError::Restarted(guard.name.clone()));
        }
    }
    Ok(reports)
}

/// Reads the recovery state of every guard.
///
/// # Errors
///
/// Returns the first guard that does not answer.
pub async fn read_recovery_states(
    network: &Network,
    guards: &[PeerAddress],
) -> Result<Vec<RecoveryStateReport>, BootstrapError> {
    let mut reports = Vec::with_capacity(guards.len());
    for guard in guards {
        let report = network
            .call(guard, &RecoveryStateCall, CALL_TIMEOUT)
            .await
            .map_err(|cause| unreachable_guard(guard, cause))?;
        reports.push(report);
    }
    Ok(reports)
}

fn unreachable_guard(guard: &PeerAddress, cause: CallError) -> BootstrapError {
    BootstrapError::Unreachable {
        guard: guard.name.clone(),
        cause,
    }
}
