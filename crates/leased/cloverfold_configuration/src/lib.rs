//! The versioned configuration of an installation.
//!
//! An operator sends a whole [`Configuration`] as text in some [`ConfigurationFormat`]. The text is kept and given back as it was sent.
//! [`ConfigurationState`] owns what the control processes replicate: the highest version and the audit trail. Nothing here does I/O; the
//! log that orders the proposals is `cloverfold_consensus`, the process around both `cloverfold_control`.

#![warn(clippy::disallowed_methods)]

mod configuration;
mod faults;
mod format;
mod proposal;
mod state;

pub use configuration::{Configuration, Route, Service, TrafficLimits, Version};
pub use faults::ConfigurationFault;
pub use format::ConfigurationFormat;
pub use proposal::{Proposal, ProposalOutcome, StoredConfiguration};
pub use state::{AuditRecord, ConfigurationState};
