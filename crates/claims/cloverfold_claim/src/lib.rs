//! Replicated claims: consensus on one claim for each submission.
//!
//! [`Claims::agree`] runs consensus in the replica group of a key before any task starts. A restarted guard recovers
//! in the background and votes only in groups in which it has recovered its votes. The protocol is in
//! [`cloverfold_claims_core::ClaimReplica`]; this crate sends its messages.
//!
//! ```no_run
//! # async fn show(claims: cloverfold_claim::Claims, submission: cloverfold_claims_core::Submission,
//! #     proposed: cloverfold_claims_core::Claim) -> Result<(), cloverfold_claim::ClaimError> {
//! let chosen = claims.agree(submission, proposed).await?;
//! println!("{} tasks are placed", chosen.tasks.len());
//! # Ok(())
//! # }
//! ```

mod bootstrap;
mod claims;
mod error;
mod messages;
mod plugin;
mod recovery;

pub use bootstrap::{BootstrapError, bootstrap_cell, read_recovery_states};
pub use claims::Claims;
pub use error::ClaimError;
pub use messages::{BootstrapCall, ClaimCall, RecoverCall, RecoveryStateCall, RecoveryStateReport};
pub use plugin::ClaimPlugin;
