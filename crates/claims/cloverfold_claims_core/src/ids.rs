//! Identities that all packages of a claims installation share.
//!
//! Guards, incarnations, tasks, workspaces and submissions are named by these types in messages, records and logs. Owns no
//! state. Relies on `cloverfold_base` for the hash, which must give the same key in every process.

use cloverfold_base::{HASH_LEN, hash_parts};
use serde::{Deserialize, Serialize};

/// Number of one box that runs a guard, unique in its cell.
pub type GuardId = u16;

/// Number of one incarnation of a guard, from the start of its process to its end; a later one is larger.
///
/// Microseconds since the Unix epoch at the start of the process.
pub type Incarnation = u64;

/// Place of a task within its job, from 0.
pub type TaskIndex = u16;

/// Name of a workspace, as in the table.
pub type WorkspaceId = String;

/// Name of a service, as in the table.
pub type ServiceId = String;

/// Hash of a workspace and that workspace's idempotency key; the identity of one submission.
pub type SubmissionKey = [u8; HASH_LEN];

/// Hash of what a submission asks for, used to refuse the same key with another body.
pub type BodyDigest = [u8; HASH_LEN];

/// One incarnation of one guard: the place that a task is assigned to.
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

/// Writes a key as lower-case hexadecimal, the form used in logs and towards targets.
pub fn format_key(key: &SubmissionKey) -> String {
    key.iter().map(|byte| format!("{byte:02x}")).collect()
}
