//! Errors of consensus on a claim.

/// Why [`crate::Claims::agree`] or [`crate::Claims::read`] failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ClaimError {
    /// Too few members of the replica group answered and may vote.
    #[error("too few replicas of the key can vote")]
    NoQuorum,
    /// The key is past its retention.
    #[error("the key is older than the retention")]
    Expired,
}
