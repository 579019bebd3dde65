//! The protocol logic of a claims installation, without I/O or a clock.
//!
//! - Consensus on one [`Claim`] for each submission: [`Proposer`], [`ClaimReplica`].
//! - Admission and placement at the lead: [`Admission`], [`GuardTable`], [`choose_placements`].
//! - Starting a task at most once: [`Fence`].
//! - Moving and retrying tasks, and the outcome of a job: [`JobProgress`], [`RetryBudget`].
//!
//! All types are plain state machines that can be tested without a network: times and random numbers are arguments.
//! The other crates of the installation perform the I/O.
//!
//! ```
//! use cloverfold_claims_core::{Cell, Location, derive_submission_key};
//!
//! let location = |guard: u16, data_hall: &str| Location { guard, data_hall: data_hall.into(), rack: "r1".into() };
//! let cell = Cell::new(vec![location(1, "a"), location(2, "b"), location(3, "b"), location(4, "c")], 3);
//! let key = derive_submission_key("pharmacy-7", "order-1");
//! assert_eq!(cell.choose_replica_group(&key).len(), 3);
//! ```

mod admission;
mod cell;
mod claim;
mod claim_records;
mod fair_queue;
mod fence;
mod guard_table;
mod ids;
mod incarnations;
mod job;
mod job_events;
mod outcome;
mod placement_policy;
mod proposer;
mod recovery_state;
mod replica;
mod retry_budget;
mod task_progress;

pub use admission::{Admission, Capacity, Ticket, TicketId};
pub use cell::{Cell, Location, quorum_of};
pub use claim::{
    Accepted, Ballot, CLOCK_MARGIN, Claim, ClaimReply, ClaimRequest, ReplicaReply, Submission,
};
pub use claim_records::ReplicaRecord;
pub use fair_queue::{FairQueue, Flow};
pub use fence::{
    AssignResult, Fence, FenceLimits, QueuedTask, ReleaseResult, TaskEnd, TaskId, TaskState,
};
pub use guard_table::{GuardPhase, GuardReport, GuardTable};
pub use ids::{
    BodyDigest, GuardId, Incarnation, Placement, ServiceId, SubmissionKey, TaskIndex, WorkspaceId,
    derive_submission_key, format_key,
};
pub use incarnations::Incarnations;
pub use job::JobProgress;
pub use job_events::{EventContext, JobAction, JobEvent};
pub use outcome::{Outcome, ReasonCode, RetryPolicy};
pub use placement_policy::{
    Candidate, PlacementPolicy, choose_free_placement, choose_placements, rank_by_load,
};
pub use proposer::{Proposer, ProposerStep};
pub use recovery_state::{RecoveryPage, RecoveryState};
pub use replica::ClaimReplica;
pub use retry_budget::RetryBudget;
