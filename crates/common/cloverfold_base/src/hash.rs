//! Truncated SHA-256 hashes of byte strings.

use sha2::{Digest as _, Sha256};

/// Length of a hash, in bytes: 128 bits, so that a collision needs about 2^64 hashes.
pub const HASH_LEN: usize = 16;

/// Hashes a list of parts. The hash includes the length of each part, so that moving a boundary between parts changes it.
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
