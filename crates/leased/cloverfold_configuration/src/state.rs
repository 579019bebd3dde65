//! The state that the control processes replicate.
//!
//! [`ConfigurationState`] owns the configuration in force and the audit trail. It relies on the log: every control process applies the
//! same proposals in the same order.

use std::collections::VecDeque;

use cloverfold_base::{UnixTime, hash_parts};
use serde::{Deserialize, Serialize};

use crate::configuration::Version;
use crate::proposal::{Proposal, ProposalOutcome, StoredConfiguration, judge_proposal};

/// Audit records that are kept; older ones are dropped. Chosen, not measured.
const MAX_AUDIT_RECORDS: usize = 4_096;

/// One decision on a proposal. The order of the fields is the format on disk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditRecord {
    /// The version proposed.
    pub version: Version,
    /// The version in force before; 0 before the first.
    pub version_before: Version,
    /// What became of it.
    pub outcome: ProposalOutcome,
    /// Name of the control process that received it.
    pub source: String,
    /// When it received it, by its wall clock.
    pub received_at: UnixTime,
    /// First bytes of the hash of its text.
    pub digest: [u8; 16],
    /// Length of its text, in bytes.
    pub text_len: u32,
    /// Length of the text in force before, in bytes; 0 before the first.
    pub text_len_before: u32,
}

/// The configuration in force and how it came about.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationState {
    current: Option<StoredConfiguration>,
    audit: VecDeque<AuditRecord>,
}

impl ConfigurationState {
    /// Decodes a state; no bytes at all are the state of a new installation.
    ///
    /// # Errors
    ///
    /// Returns the decoder's error if the bytes are no state.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        if bytes.is_empty() {
            return Ok(Self::default());
        }
        postcard::from_bytes(bytes)
    }

    /// Encodes the state.
    ///
    /// # Panics
    ///
    /// Never: every state can be encoded.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("a state in memory can be encoded")
    }

    /// Returns the configuration in force.
    pub fn current(&self) -> Option<&StoredConfiguration> {
        self.current.as_ref()
    }

    /// Returns the version in force; 0 before the first.
    pub fn version(&self) -> Version {
        self.current.as_ref().map_or(0, |current| current.version)
    }

    /// Returns the decisions, oldest first.
    pub fn audit(&self) -> impl Iterator<Item = &AuditRecord> {
        self.audit.iter()
    }

    /// Applies a proposal and records what became of it.
    pub fn apply(&mut self, proposal: Proposal) -> ProposalOutcome {
        let outcome = judge_proposal(&proposal.configuration, self.current());
        let len_before = self.current().map_or(0, |current| current.text.len());
        self.audit.push_back(AuditRecord {
            version: proposal.configuration.version,
            version_before: self.version(),
            outcome,
            source: proposal.source,
            received_at: proposal.received_at,
            digest: hash_parts(&[&proposal.configuration.text]),
            text_len: proposal.configuration.text.len() as u32,
            text_len_before: len_before as u32,
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
