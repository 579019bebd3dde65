//! Operator calls about kept jobs.
//!
//! The leader of a job's group shows or cancels the job, with the same guarantees as for entries: linearizable reads, and cancellation
//! acknowledged after commit. A call that is refused or gets no reply is retried every 250 ms and answered with 503 after 2.5 s. The list
//! shows only what this process knows, and says so, because it must also work while a group has no majority.

use cloverfold_http::{Response, json_response, plain_response};
use cloverfold_kept_jobs::{CancelOutcome, JobCall, JobPhase, JobReply, TerminalState, group_of};
use http::StatusCode;
use serde_json::{Value, json};
use tokio::time::{sleep, timeout};

use super::OperatorApi;
use super::calls::JobsCall;
use super::replies::{PROPOSAL_RESEND_INTERVAL, PROPOSAL_TIMEOUT, answer_unavailable};
use crate::job_groups::GroupHost;
use crate::state::format_id;

/// Maximum number of open jobs that a list shows per group, about 100 kB.
const MAX_LISTED_JOBS: usize = 1_000;

impl OperatorApi {
    pub(super) async fn answer_jobs(&self, call: JobsCall) -> Response {
        match call {
            JobsCall::List => self.list_jobs(),
            JobsCall::Show(job) => self.call_group(&job, JobCall::Show(job.clone())).await,
            JobsCall::Cancel(job) => {
                let answer = self.call_group(&job, JobCall::Cancel(job.clone())).await;
                let status = answer.status().as_u16();
                log::info!(job = job.as_str(), status; "an operator cancelled a kept job");
                answer
            }
        }
    }

    fn list_jobs(&self) -> Response {
        let state = self.state.lock();
        let groups: Vec<Value> = state.open_groups().map(describe_group).collect();
        let body = json!({ "as_known_to": self.name, "groups": groups });
        json_response(StatusCode::OK, body.to_string())
    }

    /// Calls the group of a job, with retries.
    async fn call_group(&self, job: &str, call: JobCall) -> Response {
        let Some(count) = self.state.lock().job_group_count() else {
            return answer_unavailable("the groups of kept jobs are not known here yet\n");
        };
        let group = group_of(job, count);
        match timeout(PROPOSAL_TIMEOUT, self.wait_for_reply(group, &call)).await {
            Ok(reply) => describe_reply(job, group, &reply),
            Err(_) => answer_unavailable("the job's group does not answer at present\n"),
        }
    }

    async fn wait_for_reply(&self, group: u32, call: &JobCall) -> JobReply {
        loop {
            let reply = self.state.lock().call_as_operator(group, call.clone());
            match timeout(PROPOSAL_RESEND_INTERVAL, reply).await {
                Ok(Ok(JobReply::Refused(_)) | Err(_)) => sleep(PROPOSAL_RESEND_INTERVAL).await,
                Ok(Ok(reply)) => return reply,
                Err(_) => {}
            }
        }
    }
}

fn describe_reply(job: &str, group: u32, reply: &JobReply) -> Response {
    let state = match reply {
        JobReply::Shown(Some(phase)) => describe_phase(*phase),
        JobReply::Cancelled(CancelOutcome::Cancelled) => {
            describe_terminal_state(TerminalState::Cancelled)
        }
        JobReply::Cancelled(CancelOutcome::Ended(how)) => describe_terminal_state(*how),
        JobReply::Shown(None) | JobReply::Cancelled(CancelOutcome::Unknown) => {
            return plain_response(StatusCode::GONE, "no such job\n");
        }
        _ => return answer_unavailable("the job's group does not answer at present\n"),
    };
    let body = json!({ "id": job, "group": group, "state": state });
    json_response(StatusCode::OK, body.to_string())
}

fn describe_phase(phase: JobPhase) -> &'static str {
    match phase {
        JobPhase::Queued => "queued",
        JobPhase::Running => "running",
        JobPhase::Ended(how) => describe_terminal_state(how),
    }
}

fn describe_terminal_state(how: TerminalState) -> &'static str {
    match how {
        TerminalState::Completed => "completed",
        TerminalState::Failed => "failed",
        TerminalState::Cancelled => "cancelled",
    }
}

/// Describes a group from the local replica.
fn describe_group(group: &GroupHost) -> Value {
    let status = group.status();
    let table = group.table();
    let voters = status.members.voters.iter();
    let voters =
        voters.map(|voter| json!({ "replica": format_id(voter.id), "address": voter.address }));
    let jobs = table.open().iter().take(MAX_LISTED_JOBS).map(|(id, open)| {
        json!({
            "id": id,
            "queue": open.submission().queue,
            "epoch": open.epoch(),
            "tasks": open.submission().tasks,
            "tasks_ended": open.progress().len(),
        })
    });
    json!({
        "group": group.id(),
        "role": status.role.as_str().to_lowercase(),
        "term": status.term,
        "leader": status.leader.map(format_id),
        "replica": format_id(status.id),
        "voters": voters.collect::<Vec<_>>(),
        "commit": status.commit,
        "open": table.open().len(),
        "ended": table.ended_count(),
        "open_bytes": table.open_bytes(),
        "jobs": jobs.collect::<Vec<_>>(),
    })
}
