//! What the control processes replicate.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use cloverfold_base::hash_parts;
use serde::{Deserialize, Serialize};

use crate::configuration::Version;

/// Audit records that are kept.
const MAX_AUDIT_RECORDS: usize = 4_096;

/// A configuration as it was sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredConfiguration {
    /// Its number.
    pub version: Version,
    /// Its text.
    pub text: Arc<[u8]>,
}

/// A valid configuration that an operator wants to hold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proposal {
    /// The configuration.
    pub configuration: StoredConfiguration,
    /// The control process that took it.
    pub source: String,
    /// When it did, as the span since the Unix epoch.
    pub received_at: Duration,
}

/// What became of a proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProposalOutcome {
    /// It holds.
    Taken,
    /// It held already.
    Repeated,
    /// A higher version held already.
    Outdated,
    /// The same version held with another text, which holds on.
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

/// One decision on a proposal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditRecord {
    /// The version proposed.
    pub version: Version,
    /// The version that held before.
    pub held_before: Version,
    /// What became of it.
    pub outcome: ProposalOutcome,
    /// The control process that took it.
    pub source: String,
    /// When it did, as the span since the Unix epoch.
    pub received_at: Duration,
    /// First bytes of the hash of its text.
    pub digest: [u8; 16],
    /// Length of its text and of the text that held before, in bytes.
    pub lengths: (u32, u32),
}

/// The highest version and how it came about.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationState {
    current: Option<StoredConfiguration>,
    audit: VecDeque<AuditRecord>,
}

impl ConfigurationState {
    /// Reads a state from its encoded form; an empty text is the state of a new installation.
    ///
    /// # Errors
    ///
    /// Says that the text is no state.
    pub fn decode(text: &[u8]) -> Result<Self, postcard::Error> {
        if text.is_empty() {
            return Ok(Self::default());
        }
        postcard::from_bytes(text)
    }

    /// Writes the state.
    ///
    /// # Panics
    ///
    /// Never: every state can be written.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("a state in memory can be written")
    }

    /// Returns the configuration that holds.
    pub fn current(&self) -> Option<&StoredConfiguration> {
        self.current.as_ref()
    }

    /// Returns the version that holds; 0 before the first.
    pub fn version(&self) -> Version {
        self.current.as_ref().map_or(0, |held| held.version)
    }

    /// Returns the decisions, oldest first.
    pub fn audit(&self) -> impl Iterator<Item = &AuditRecord> {
        self.audit.iter()
    }

    /// Says what would become of a proposal.
    pub fn judge(&self, proposed: &StoredConfiguration) -> ProposalOutcome {
        match &self.current {
            Some(held) if held.version > proposed.version => ProposalOutcome::Outdated,
            Some(held) if held.version == proposed.version && held.text == proposed.text => {
                ProposalOutcome::Repeated
            }
            Some(held) if held.version == proposed.version => ProposalOutcome::Conflicting,
            _ => ProposalOutcome::Taken,
        }
    }

    /// Takes a proposal and notes what became of it.
    pub fn apply(&mut self, proposal: Proposal) -> ProposalOutcome {
        let outcome = self.judge(&proposal.configuration);
        let held = self.current.as_ref().map_or(0, |held| held.text.len());
        self.audit.push_back(AuditRecord {
            version: proposal.configuration.version,
            held_before: self.version(),
            outcome,
            source: proposal.source,
            received_at: proposal.received_at,
            digest: hash_parts(&[&proposal.configuration.text]),
            lengths: (proposal.configuration.text.len() as u32, held as u32),
        });
        if self.audit.len() > MAX_AUDIT_RECORDS {
            self.audit.pop_front();
        }
        if outcome == ProposalOutcome::Taken {
            self.current = Some(proposal.configuration);
        }
        outcome
    }
}
