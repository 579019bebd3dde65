//! Short hashes of byte strings.

use sha2::{Digest as _, Sha256};

/// Length of a hash, in bytes.
pub const HASH_LEN: usize = 16;

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
