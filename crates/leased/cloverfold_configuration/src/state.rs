//! The replicated configuration state.
//!
//! Every control process applies the same proposals in the same order, as the replicated log guarantees, and so gets the same state.

use std::collections::VecDeque;

use cloverfold_base::{UnixTime, hash_parts};
use serde::{Deserialize, Serialize};

use crate::configuration::Version;
use crate::proposal::{Proposal, ProposalOutcome, StoredConfiguration, decide_outcome};

/// Maximum number of audit records; the oldest are dropped.
const MAX_AUDIT_RECORDS: usize = 4_096;

/// The record of one proposal in the audit trail. The order of the fields is the format on disk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditRecord {
    /// The proposed version.
    pub version: Version,
    /// The version in force before the proposal; 0 if there was none.
    pub version_before: Version,
    /// The outcome of the proposal.
    pub outcome: ProposalOutcome,
    /// Name of the control process that received the proposal.
    pub source: String,
    /// Wall-clock time at which that process received the proposal.
    pub received_at: UnixTime,
    /// The first bytes of the hash of the proposed text.
    pub digest: [u8; 16],
    /// Length of the proposed text, in bytes.
    pub text_len: u32,
    /// Length of the text in force before the proposal, in bytes; 0 if there was none.
    pub text_len_before: u32,
}

/// The configuration in force and the audit trail.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationState {
    current: Option<StoredConfiguration>,
    audit: VecDeque<AuditRecord>,
}

impl ConfigurationState {
    /// Decodes a state. Empty input yields the state of a new installation.
    ///
    /// # Errors
    ///
    /// Returns the decoder's error if the bytes are not a valid state.
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
    /// Does not panic in practice, since every state can be encoded.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("a state in memory can be encoded")
    }

    /// Returns the configuration in force.
    pub fn current(&self) -> Option<&StoredConfiguration> {
        self.current.as_ref()
    }

    /// Returns the version in force; 0 if there is none.
    pub fn version(&self) -> Version {
        self.current.as_ref().map_or(0, |current| current.version)
    }

    /// Returns the audit trail, oldest record first.
    pub fn audit(&self) -> impl Iterator<Item = &AuditRecord> {
        self.audit.iter()
    }

    /// Applies a proposal and records its outcome.
    pub fn apply(&mut self, proposal: Proposal) -> ProposalOutcome {
        let outcome = decide_outcome(&proposal.configuration, self.current());
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
