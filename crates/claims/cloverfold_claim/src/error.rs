//! Errors of the agreement on a claim.
//!
//! For the callers of [`crate::Claims::agree`], which then answer the submission without a claim. Owns no state and relies
//! on nothing.

/// Why [`crate::Claims::agree`] brought no claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ClaimError {
    /// Too few members of the replica group answered or may vote.
    #[error("too few replicas of the key can vote")]
    NoQuorum,
    /// The key is past its retention.
    #[error("the key is older than the retention")]
    Expired,
}
