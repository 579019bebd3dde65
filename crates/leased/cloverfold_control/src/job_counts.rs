//! Counters of command outcomes and refused calls of a job group.

use std::collections::BTreeMap;

use cloverfold_kept_jobs::{
    CallRefusal, CancelOutcome, CommandOutcome, EndDecision, SubmitOutcome,
};

/// Counts since the start of the process, by outcome.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct JobCounts {
    counts: BTreeMap<&'static str, u64>,
}

impl JobCounts {
    /// Counts the outcome of a command.
    pub(crate) fn record(&mut self, outcome: &CommandOutcome) {
        match outcome {
            CommandOutcome::Submit(outcome) => self.count(submit_outcome_name(*outcome), 1),
            CommandOutcome::Ends(decisions) => {
                for decision in decisions {
                    self.count(end_decision_name(*decision), 1);
                }
            }
            CommandOutcome::Cancel(CancelOutcome::Cancelled) => self.count("Cancelled", 1),
            CommandOutcome::Cancel(_) => self.count("NotCancelled", 1),
            CommandOutcome::Assigned(jobs) => self.count("HandedOn", jobs.len() as u64),
            CommandOutcome::Expired(jobs) => self.count("Forgotten", *jobs as u64),
        }
    }

    pub(crate) fn record_refusal(&mut self, refusal: CallRefusal) {
        self.count(refusal.as_str(), 1);
    }

    /// Adds the counts of another group.
    pub(crate) fn add(&mut self, other: &Self) {
        for (name, count) in &other.counts {
            self.count(name, *count);
        }
    }

    /// Lists the counts by name.
    pub(crate) fn list(&self) -> Vec<(&'static str, u64)> {
        let counts = self.counts.iter();
        counts.map(|(name, count)| (*name, *count)).collect()
    }

    fn count(&mut self, name: &'static str, amount: u64) {
        *self.counts.entry(name).or_default() += amount;
    }
}

fn submit_outcome_name(outcome: SubmitOutcome) -> &'static str {
    match outcome {
        SubmitOutcome::Accepted(_) => "Accepted",
        SubmitOutcome::Known => "Known",
        SubmitOutcome::Conflict => "Conflict",
        SubmitOutcome::Full => "Full",
    }
}

fn end_decision_name(decision: EndDecision) -> &'static str {
    match decision {
        EndDecision::Recorded => "EndRecorded",
        EndDecision::JobOver => "EndOfJobThatIsOver",
        EndDecision::Fenced => "EndFenced",
    }
}
