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

mod claims;
mod error;
mod found;
mod messages;
mod plugin;
mod recovery;

pub use claims::Claims;
pub use error::ClaimError;
pub use found::{FoundError, found_cell, read_standings};
pub use messages::{ClaimCall, FoundCall, RecoverCall, StandingCall, StandingReport};
pub use plugin::ClaimPlugin;
