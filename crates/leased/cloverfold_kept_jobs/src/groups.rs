//! The mapping of jobs to groups, and the initial replicas of the groups.
//!
//! A job belongs to the group given by the hash of its name, modulo the number of groups. That number is agreed on once in the log of the
//! control processes and never changes, so every entry finds the group of a job without a lookup.

use std::net::SocketAddr;

use cloverfold_base::hash_parts;
use serde::{Deserialize, Serialize};

/// Index of a group, from 0.
pub type GroupId = u32;

/// Maximum number of groups in an installation; one for each of the boxes that may be set aside.
pub const MAX_GROUPS: u32 = 16;

/// The groups of an installation, as its control processes agreed on them. The order of the fields is part of the disk and wire formats.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobGroups {
    /// Number of groups.
    pub count: u32,
    /// The initial replicas of each group, in order. Any other replica must not bootstrap a group.
    pub founders: Vec<Founder>,
}

/// An initial replica of the groups. The order of the fields is part of the disk and wire formats.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Founder {
    /// Identity of the replica's disk.
    pub replica: u64,
    /// Address on which its process accepts links.
    pub address: SocketAddr,
}

/// Returns the group of a job among `count` groups.
///
/// # Panics
///
/// Panics if `count` is 0.
pub fn group_of(job: &str, count: u32) -> GroupId {
    let hash = hash_parts(&[job.as_bytes()]);
    let (head, _) = hash.split_at(4);
    let head = head.iter().fold(0, |sum, &byte| sum << 8 | u32::from(byte));
    head % count
}
