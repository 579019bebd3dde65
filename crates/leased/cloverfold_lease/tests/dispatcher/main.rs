//! Tests of the dispatcher, one module per topic.

#![allow(clippy::unwrap_used)]

mod admission;
mod begun_jobs;
mod evacuation;
mod fixture;
mod grace_period;
mod kept_jobs;
mod pauses_and_withdrawals;
mod placement;
mod precedence;
mod queue_changes;
mod resubmissions;
mod run_ends;
mod sessions;
mod stall_recovery;
mod startup;
mod target_needs;
mod usual_speed;
mod waiting_jobs;
