//! Identifiers that all crates of a claims installation share.
//!
//! The hash from `cloverfold_base` must give the same key in every process.

use cloverfold_base::{HASH_LEN, hash_parts};
use serde::{Deserialize, Serialize};

/// Number of a guard, unique in its cell; each box runs one guard.
pub type GuardId = u16;

/// Incarnation number of a guard: the start of its process in microseconds since the Unix epoch.
///
/// A restarted guard has a larger number.
pub type Incarnation = u64;

/// Index of a task within its job, from 0.
pub type TaskIndex = u16;

/// Name of a workspace, as in the cell's settings.
pub type WorkspaceId = String;

/// Name of a service, as in the cell's settings.
pub type ServiceId = String;

/// Hash of a workspace and its idempotency key; identifies one submission.
pub type SubmissionKey = [u8; HASH_LEN];

/// Hash of a submission's body, used to refuse the same key with another body.
pub type BodyDigest = [u8; HASH_LEN];

/// One incarnation of one guard, to which tasks are assigned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Placement {
    /// The guard.
    pub guard: GuardId,
    /// The incarnation of the guard.
    pub incarnation: Incarnation,
}

/// Derives the [`SubmissionKey`] of a workspace's idempotency key.
pub fn derive_submission_key(workspace: &str, idempotency_key: &str) -> SubmissionKey {
    hash_parts(&[workspace.as_bytes(), idempotency_key.as_bytes()])
}

/// Formats a key as lower-case hexadecimal, as logs and requests to targets show it.
pub fn format_key(key: &SubmissionKey) -> String {
    key.iter().map(|byte| format!("{byte:02x}")).collect()
}
