//! Cancellation of jobs that are not stored: a tombstone keeps a submission that arrives later from running.
//!
//! A caller that gets no response may give up and cancel its job while copies of the submission are still under way: at an entry that
//! resends it, on a link, or from the caller itself. So the cancellation of an unknown ID stores a tombstone under the ID before it is
//! acknowledged. A submission under a tombstone is answered as that of a cancelled job.
//!
//! A tombstone is an ended job with a reserved digest. It is written by a submission with this digest and its cancellation, both in one log
//! entry. So builds that do not know tombstones read and apply the same log and snapshots: there, a submission under a tombstone is a
//! conflict and does not run either.
//!
//! Tombstones are removed like ended jobs, after the retention period. With [`MAX_TOMBSTONES`] stored, cancellations of further unknown IDs
//! are refused, so that the ones that were acknowledged still hold.

use crate::commands::{JobCommand, JobSubmission};
use crate::ids::{JobDigest, JobId};
use crate::job::EndedJob;
use crate::table::JobTable;

/// Maximum number of tombstones of a group; a quarter of [`MAX_ENDED_JOBS`](crate::MAX_ENDED_JOBS), so that cancellations cannot fill the
/// table. More than 400 per second at a retention of 150 s.
pub const MAX_TOMBSTONES: usize = 64 * 1024;

/// Digest of tombstones; part of the disk format. A digest of submitted content is a hash, which does not take this value by chance.
const TOMBSTONE_DIGEST: JobDigest = *b"tombstone of job";

impl JobSubmission {
    /// Returns the submission that is cancelled to store a tombstone. It has no tasks and no driver.
    fn tombstone(id: JobId) -> Self {
        Self {
            id,
            queue: String::new(),
            digest: TOMBSTONE_DIGEST,
            body: Vec::new(),
            tasks: 0,
            max_attempts: 0,
            driver: 0,
        }
    }

    /// Returns whether it only stores a tombstone.
    pub fn is_tombstone(&self) -> bool {
        self.digest == TOMBSTONE_DIGEST
    }
}

impl EndedJob {
    /// Returns whether it is a tombstone: the ID was cancelled before any job was submitted under it.
    pub fn is_tombstone(&self) -> bool {
        self.digest == TOMBSTONE_DIGEST
    }
}

impl JobTable {
    /// Returns the commands that cancel a job, which must be applied together; `None` if the job is unknown and there are too many
    /// tombstones.
    ///
    /// The table may lack a job whose submission is not applied yet. The commands are correct in this case too: a tombstone has no effect on
    /// a stored job.
    pub fn plan_cancellation(&self, job: &JobId) -> Option<Vec<JobCommand>> {
        let cancel = JobCommand::Cancel(job.clone());
        if self.open().contains_key(job) || self.ended(job).is_some() {
            return Some(vec![cancel]);
        }
        let has_room = self.tombstone_count() < MAX_TOMBSTONES;
        let tombstone = JobCommand::Submit(JobSubmission::tombstone(job.clone()));
        has_room.then(|| vec![tombstone, cancel])
    }
}
