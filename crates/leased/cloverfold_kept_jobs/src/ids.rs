//! Identifiers of kept jobs, their tasks and their drivers.

use cloverfold_base::HASH_LEN;

/// Name that the caller gives to a job.
pub type JobId = String;
/// Hash of the submitted content. A submission with the same name but another digest is a conflict.
pub type JobDigest = [u8; HASH_LEN];
/// Index of a task among all tasks of its job, in the order of the steps.
pub type TaskIndex = u32;
/// Random identifier of an entry for one unbroken sequence of leases on one group. It is never reused after the lease lapses or the
/// process ends.
pub type DriverId = u64;
/// Fencing number of a job's driver. It starts at 1 and rises with each handover.
pub type Epoch = u64;
/// Sequence number of an ended job within its group, from 1.
pub type EndSequence = u64;

/// Size of the range of run numbers that a task has in each epoch.
pub const RUNS_PER_EPOCH: u64 = 1 << 20;
/// Base of the run numbers of kept jobs. Best-effort runs are numbered by a clock in tenths of a second and stay below it. Run numbers
/// remain exact as 64-bit floating-point numbers even after 2^30 epochs.
pub const FIRST_KEPT_RUN: u64 = 1 << 50;

/// Returns the number of the first run of a task in an epoch. Targets order runs by number, so a run of a later epoch supersedes earlier
/// ones.
pub fn first_run_of(epoch: Epoch) -> u64 {
    FIRST_KEPT_RUN + epoch * RUNS_PER_EPOCH + 1
}

/// Returns whether a run number belongs to a kept job.
pub fn is_kept_run(run: u64) -> bool {
    run >= FIRST_KEPT_RUN
}
