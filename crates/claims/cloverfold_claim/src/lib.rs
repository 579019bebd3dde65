//! Replicated claims: one plan per submission.
//!
//! [`Claims::agree`] has the replica group of a key agree on a claim before any task starts. A restarted guard recovers
//! in the background, and votes only where it can have forgotten nothing (see
//! [`cloverfold_claims_core::ClaimReplica`], which owns the records and decides).
//!
//! Relies on `cloverfold_membership` for the addresses of the guards and on `cloverfold_net` for the requests.
//!
//! ```no_run
//! # async fn show(claims: cloverfold_claim::Claims, submission: cloverfold_claims_core::Submission,
//! #     wanted: cloverfold_claims_core::Claim) -> Result<(), cloverfold_claim::ClaimError> {
//! let agreed = claims.agree(submission, wanted).await?;
//! println!("{} tasks have their places", agreed.tasks.len());
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
