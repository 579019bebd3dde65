//! Decision: which of two configurations is in force.
//!
//! Rule: a proposal comes into force if its version is above the version in force. Any other changes nothing; what became of it is
//! recorded.
//!
//! Inputs: the proposal and the configuration in force, as of the proposal's place in the log.
//!
//! Reason: of operators that race the highest version wins, in whichever order their proposals were committed, and a proposal that is
//! repeated does no harm (docs/design/7-control.md).

use std::sync::Arc;

use cloverfold_base::UnixTime;
use serde::{Deserialize, Serialize};

use crate::configuration::Version;

/// A configuration as an operator sent it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredConfiguration {
    /// Its number.
    pub version: Version,
    /// Its text.
    pub text: Arc<[u8]>,
}

/// A valid configuration that an operator wants in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proposal {
    /// The configuration.
    pub configuration: StoredConfiguration,
    /// Name of the control process that received it.
    pub source: String,
    /// When it received it, by its wall clock.
    pub received_at: UnixTime,
}

/// What became of a proposal. The order of the variants is the format on disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProposalOutcome {
    /// It came into force.
    Taken,
    /// It was in force already.
    Repeated,
    /// A higher version was in force already.
    Outdated,
    /// The same version was in force with another text, which stays in force.
    Conflicting,
}

impl ProposalOutcome {
    /// Returns the name that log lines and the audit trail use; it never changes.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Taken => "Taken",
            Self::Repeated => "Repeated",
            Self::Outdated => "Outdated",
            Self::Conflicting => "Conflicting",
        }
    }
}

/// Returns what becomes of a proposal while `current` is in force.
pub(crate) fn judge_proposal(
    proposed: &StoredConfiguration,
    current: Option<&StoredConfiguration>,
) -> ProposalOutcome {
    match current {
        Some(current) if current.version > proposed.version => ProposalOutcome::Outdated,
        Some(current) if current.version == proposed.version && current.text == proposed.text => {
            ProposalOutcome::Repeated
        }
        Some(current) if current.version == proposed.version => ProposalOutcome::Conflicting,
        _ => ProposalOutcome::Taken,
    }
}
