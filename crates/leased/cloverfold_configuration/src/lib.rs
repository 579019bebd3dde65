//! The versioned configuration of an installation.
//!
//! An operator sends a whole [`Configuration`] as text in some [`ConfigurationFormat`]. The text is kept and given back as it
//! was sent; [`ConfigurationState`] is what the control processes replicate: the highest version and the audit trail.

mod configuration;
mod format;
mod state;

pub use configuration::{
    Configuration, ConfigurationFault, Route, Service, TrafficLimits, Version,
};
pub use format::ConfigurationFormat;
pub use state::{AuditRecord, ConfigurationState, Proposal, ProposalOutcome, StoredConfiguration};
