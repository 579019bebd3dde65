//! Proposals of configurations and their outcomes.
//!
//! A proposal comes into force if its version is above the version in force; any other proposal changes nothing but is still recorded. Of
//! concurrent proposals the highest version therefore wins in any commit order, and retries are idempotent.

use std::sync::Arc;

use cloverfold_base::UnixTime;
use serde::{Deserialize, Serialize};

use crate::configuration::Version;

/// A configuration as submitted by an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredConfiguration {
    /// The version number.
    pub version: Version,
    /// The encoded text.
    pub text: Arc<[u8]>,
}

/// A valid configuration proposed by an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proposal {
    /// The configuration.
    pub configuration: StoredConfiguration,
    /// Name of the control process that received the proposal.
    pub source: String,
    /// Wall-clock time at which that process received the proposal.
    pub received_at: UnixTime,
}

/// The outcome of a proposal. The order of the variants is the format on disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProposalOutcome {
    /// The proposal came into force.
    Taken,
    /// The same configuration was already in force.
    Repeated,
    /// A higher version was already in force.
    Outdated,
    /// The same version was already in force with a different text, which stays in force.
    Conflicting,
}

impl ProposalOutcome {
    /// Returns the name used in log lines and the audit trail. These names are stable.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Taken => "Taken",
            Self::Repeated => "Repeated",
            Self::Outdated => "Outdated",
            Self::Conflicting => "Conflicting",
        }
    }
}

/// Returns the outcome of a proposal while `current` is in force.
pub(crate) fn decide_outcome(
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
