//! The versioned configuration of an installation.
//!
//! An operator sends a whole [`Configuration`] as text in some [`ConfigurationFormat`]. The text is kept and given back as it was sent.
//! [`ConfigurationState`] owns what the control processes replicate: the highest version and the audit trail. Other processes are told what
//! has changed since the version that they have ([`ConfigurationDelta`]). Nothing here does I/O; the log that orders the proposals is
//! `cloverfold_consensus`, the process around both `cloverfold_control`.

#![warn(clippy::disallowed_methods)]

mod configuration;
mod delta;
mod format;
mod proposal;
mod recent;
mod state;
mod validation;

pub use configuration::{Configuration, Route, Service, TrafficLimits, Version};
pub use delta::{ConfigurationDelta, TextPiece};
pub use format::ConfigurationFormat;
pub use proposal::{Proposal, ProposalOutcome, StoredConfiguration};
pub use recent::RecentConfigurations;
pub use state::{AuditRecord, ConfigurationState};
pub use validation::ConfigurationError;
