//! Identities that every capability shares.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

/// Number of one box that runs a guard, unique in its cell.
pub type GuardId = u16;

/// Number of one life of a guard process; a later life has a larger number.
pub type Incarnation = u64;

/// Place of a task within its job, from 0.
pub type TaskIndex = u16;

/// Wall-clock time as the span since the Unix epoch.
pub type UnixTime = Duration;

/// Name of a customer, as in the table.
pub type CustomerId = String;

/// Name of a service, as in the table.
pub type ServiceId = String;

/// Length of a [`SubmissionKey`] and of a [`BodyDigest`], in bytes.
pub const HASH_LEN: usize = 16;

/// Hash of a customer and that customer's idempotency key; the identity of one submission.
pub type SubmissionKey = [u8; HASH_LEN];

/// Hash of what a submission asks for, used to refuse the same key with another body.
pub type BodyDigest = [u8; HASH_LEN];

/// One life of one guard, the place where a task is assigned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Placement {
    /// The guard.
    pub guard: GuardId,
    /// The life of the guard that the assignment is for.
    pub incarnation: Incarnation,
}

/// Derives the [`SubmissionKey`] of a customer's idempotency key.
pub fn derive_submission_key(customer: &str, idempotency_key: &str) -> SubmissionKey {
    hash_parts(&[customer.as_bytes(), idempotency_key.as_bytes()])
}

/// Hashes a list of parts; the length of each part is hashed too, so that parts cannot run together.
pub fn hash_parts(parts: &[&[u8]]) -> [u8; HASH_LEN] {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let full = hasher.finalize();
    let mut short = [0; HASH_LEN];
    short.copy_from_slice(&full[..HASH_LEN]);
    short
}

/// Writes a key as lower-case hexadecimal, the form used in logs and towards targets.
pub fn format_key(key: &SubmissionKey) -> String {
    key.iter().map(|byte| format!("{byte:02x}")).collect()
}
