//! The versioned configuration of an installation.
//!
//! An operator submits a whole [`Configuration`] as text in a [`ConfigurationFormat`]; the text is stored and returned byte for byte.
//! [`ConfigurationState`] is the replicated state of the control processes: the configuration in force and the audit trail. Other processes
//! receive a [`ConfigurationDelta`] against the version that they have. This crate performs no I/O: `cloverfold_consensus` replicates the
//! proposals, and `cloverfold_control` runs both.

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
