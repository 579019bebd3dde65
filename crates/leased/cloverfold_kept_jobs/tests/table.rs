//! Job table under random sequences of submissions, run ends, cancellations, handovers, expiries and restarts.

#![allow(clippy::unwrap_used)]

use std::collections::{BTreeMap, BTreeSet};

use cloverfold_kept_jobs::{
    CancelOutcome, CommandOutcome, EndDecision, EndOutcome, JobCommand, JobReassignment,
    JobSubmission, JobTable, MAX_OPEN_BYTES, SubmitOutcome, TaskEnd, TerminalState,
};
use proptest::prelude::*;

const JOBS: u8 = 5;
const TASKS: u32 = 2;
const MAX_ATTEMPTS: u32 = 2;

/// One step of a random schedule.
#[derive(Clone, Debug)]
enum Step {
    Submit {
        job: u8,
        content: u8,
    },
    End {
        job: u8,
        task: u32,
        epoch: u64,
        run: u64,
        is_done: bool,
    },
    Cancel(u8),
    /// Cancel a job as a leader does, which stores a tombstone if the job is unknown.
    CancelWithTombstone(u8),
    Assign {
        job: u8,
        after: u64,
    },
    /// Remove all ended jobs except this many newest ones.
    Expire(u64),
    Restart,
}

fn name(job: u8) -> String {
    format!("job-{job}")
}

fn submission(job: u8, content: u8) -> JobSubmission {
    JobSubmission {
        id: name(job),
        queue: "queue".into(),
        digest: [content; 16],
        body: vec![content],
        tasks: TASKS,
        max_attempts: MAX_ATTEMPTS,
        driver: 1,
    }
}

fn end(job: u8, task: u32, epoch: u64, run: u64, is_done: bool) -> TaskEnd {
    let outcome = if is_done {
        EndOutcome::Done
    } else {
        EndOutcome::Failed
    };
    TaskEnd {
        job: name(job),
        epoch,
        task,
        run: (epoch << 20) + run,
        outcome,
    }
}

fn steps() -> impl Strategy<Value = Step> {
    let job = 0..JOBS;
    prop_oneof![
        3 => (job.clone(), 0..10_u8).prop_map(|(job, content)| Step::Submit {
            job,
            content: content / 9,
        }),
        6 => (job.clone(), 0..TASKS, 1..4_u64, 1..4_u64, any::<bool>()).prop_map(
            |(job, task, epoch, run, is_done)| Step::End { job, task, epoch, run, is_done }
        ),
        1 => job.clone().prop_map(Step::Cancel),
        1 => job.clone().prop_map(Step::CancelWithTombstone),
        2 => (job, 1..4_u64).prop_map(|(job, after)| Step::Assign { job, after }),
        1 => (0..4_u64).prop_map(Step::Expire),
        1 => Just(Step::Restart),
    ]
}

/// Returns the commands of a step, which are applied together; `None` for a restart.
fn commands(step: &Step, table: &JobTable) -> Option<Vec<JobCommand>> {
    match *step {
        Step::CancelWithTombstone(job) => table.plan_cancellation(&name(job)),
        _ => command(step, table).map(|command| vec![command]),
    }
}

fn command(step: &Step, table: &JobTable) -> Option<JobCommand> {
    match *step {
        Step::Submit { job, content } => Some(JobCommand::Submit(submission(job, content))),
        Step::End {
            job,
            task,
            epoch,
            run,
            is_done,
        } => {
            let end = end(job, task, epoch, run, is_done);
            Some(JobCommand::RecordEnds(vec![end]))
        }
        Step::Cancel(job) => Some(JobCommand::Cancel(name(job))),
        Step::Assign { job, after } => Some(JobCommand::Assign(vec![JobReassignment {
            job: name(job),
            after,
            driver: after + 1,
        }])),
        Step::Expire(back) => Some(JobCommand::Expire(table.last_end().saturating_sub(back))),
        Step::CancelWithTombstone(_) | Step::Restart => None,
    }
}

/// The outcomes that callers and guards have received for the stored jobs.
#[derive(Default)]
struct Model {
    digests: BTreeMap<String, [u8; 16]>,
    ended: BTreeMap<String, TerminalState>,
    tombstones: BTreeSet<String>,
    /// Runs that are recorded as `Done`, by task.
    done: BTreeMap<(String, u32), u64>,
    failures: BTreeMap<(String, u32), BTreeSet<u64>>,
}

impl Model {
    fn check(&mut self, command: &JobCommand, outcome: &CommandOutcome, table: &JobTable) {
        match (command, outcome) {
            (JobCommand::Submit(job), CommandOutcome::Submit(_))
                if job.is_tombstone() && !self.digests.contains_key(&job.id) =>
            {
                self.tombstones.insert(job.id.clone());
            }
            (JobCommand::Submit(job), CommandOutcome::Submit(outcome))
                if self.tombstones.remove(&job.id) =>
            {
                assert_eq!(*outcome, SubmitOutcome::Known);
                self.digests.insert(job.id.clone(), job.digest);
                self.ended.insert(job.id.clone(), TerminalState::Cancelled);
            }
            (JobCommand::Submit(job), CommandOutcome::Submit(outcome)) => {
                let expected = match self.digests.get(&job.id) {
                    None => SubmitOutcome::Accepted(1),
                    Some(digest) if *digest == job.digest => SubmitOutcome::Known,
                    Some(_) => SubmitOutcome::Conflict,
                };
                assert_eq!(*outcome, expected);
                self.digests.entry(job.id.clone()).or_insert(job.digest);
            }
            (JobCommand::RecordEnds(ends), CommandOutcome::Ends(decisions)) => {
                self.check_end(&ends[0], decisions[0]);
            }
            (JobCommand::Cancel(job), CommandOutcome::Cancel(outcome)) => {
                let expected = match (self.digests.get(job), self.ended.get(job)) {
                    (None, _) => CancelOutcome::Unknown,
                    (_, Some(TerminalState::Cancelled) | None) => CancelOutcome::Cancelled,
                    (_, Some(how)) => CancelOutcome::Ended(*how),
                };
                assert_eq!(*outcome, expected);
            }
            _ => {}
        }
        self.tombstones.retain(|job| {
            let stored = table.ended(job);
            // A tombstone that has just been submitted is open until its cancellation is applied.
            table.open().contains_key(job) || stored.is_some_and(|stored| stored.is_tombstone())
        });
        self.check_jobs(table);
    }

    /// Adds an end to the model if it was recorded.
    fn check_end(&mut self, end: &TaskEnd, decision: EndDecision) {
        let task = (end.job.clone(), end.task);
        if decision != EndDecision::Recorded {
            return;
        }
        if end.outcome == EndOutcome::Done {
            self.done.entry(task).or_insert(end.run);
        } else {
            self.failures.entry(task).or_default().insert(end.run);
        }
    }

    /// Checks that a job is removed only after its end, and that its final state never changes.
    fn check_jobs(&mut self, table: &JobTable) {
        let known: Vec<String> = self.digests.keys().cloned().collect();
        for job in known {
            let ended = table.ended(&job).map(|ended| ended.how);
            if let (Some(before), Some(how)) = (self.ended.get(&job), ended) {
                assert_eq!(*before, how, "{job}");
            }
            if let Some(how) = ended {
                self.check_terminal_state(&job, how);
                self.ended.insert(job, how);
            } else if !table.open().contains_key(&job) {
                assert!(self.ended.contains_key(&job), "{job} is lost");
                self.remove_job(&job);
            }
        }
    }

    fn check_terminal_state(&self, job: &str, how: TerminalState) {
        let is_done = |task| self.done.contains_key(&(job.to_owned(), task));
        let failures = |task| {
            let failures = self.failures.get(&(job.to_owned(), task));
            failures.map_or(0, BTreeSet::len)
        };
        match how {
            TerminalState::Completed => assert!((0..TASKS).all(is_done), "{job}"),
            TerminalState::Failed => {
                let limit = MAX_ATTEMPTS as usize;
                assert!((0..TASKS).any(|task| failures(task) >= limit), "{job}");
            }
            TerminalState::Cancelled => {}
        }
    }

    fn remove_job(&mut self, job: &str) {
        self.digests.remove(job);
        self.ended.remove(job);
        self.done.retain(|(known, _), _| known != job);
        self.failures.retain(|(known, _), _| known != job);
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(500))]

    #[test]
    fn every_command_sequence_keeps_the_invariants(schedule in prop::collection::vec(steps(), 1..120)) {
        let mut table = JobTable::default();
        let mut model = Model::default();
        for step in schedule {
            let Some(commands) = commands(&step, &table) else {
                let restarted = JobTable::decode(&table.encode()).unwrap();
                prop_assert_eq!(&restarted, &table);
                table = restarted;
                continue;
            };

            for command in commands {
                let outcome = table.apply(command.clone());
                model.check(&command, &outcome, &table);
            }

            prop_assert_eq!(table.tombstone_count(), model.tombstones.len());
            let driven: usize = table.by_driver().values().map(BTreeSet::len).sum();
            prop_assert_eq!(driven, table.open().len());
        }
    }

    #[test]
    fn a_table_without_open_jobs_accounts_no_bytes(schedule in prop::collection::vec(steps(), 1..120)) {
        let mut table = JobTable::default();
        for step in schedule {
            for command in commands(&step, &table).unwrap_or_default() {
                table.apply(command);
            }
        }

        for job in 0..JOBS {
            table.apply(JobCommand::Cancel(name(job)));
        }
        table.apply(JobCommand::Expire(table.last_end()));

        prop_assert_eq!(table.open_bytes(), 0);
        prop_assert_eq!(table.ended_count(), 0);
        prop_assert_eq!(table.tombstone_count(), 0);
        prop_assert!(table.by_driver().is_empty());
    }
}

#[test]
fn an_end_of_an_earlier_epoch_is_fenced_unless_it_was_recorded() {
    let mut table = JobTable::default();
    table.apply(JobCommand::Submit(submission(0, 0)));
    let first = end(0, 0, 1, 1, true);
    let second = end(0, 1, 1, 1, true);
    table.apply(JobCommand::RecordEnds(vec![first.clone()]));
    table.apply(JobCommand::Assign(vec![JobReassignment {
        job: name(0),
        after: 1,
        driver: 2,
    }]));

    let decided = table.apply(JobCommand::RecordEnds(vec![first, second]));

    let expected = vec![EndDecision::Recorded, EndDecision::Fenced];
    assert_eq!(decided, CommandOutcome::Ends(expected));
    assert_eq!(table.ended(&name(0)), None);
}

#[test]
fn failures_recorded_out_of_order_are_each_counted_once() {
    let mut table = JobTable::default();
    table.apply(JobCommand::Submit(submission(0, 0)));
    let (first, second) = (end(0, 0, 1, 1, false), end(0, 0, 1, 2, false));
    let record = |ends| JobCommand::RecordEnds(ends);

    table.apply(record(vec![second.clone(), second]));
    let after_one = table.ended(&name(0)).map(|job| job.how);
    table.apply(record(vec![first]));
    let after_both = table.ended(&name(0)).map(|job| job.how);

    assert_eq!(after_one, None);
    assert_eq!(after_both, Some(TerminalState::Failed));
}

#[test]
fn an_end_of_an_earlier_epoch_stays_fenced_after_the_job_has_ended_or_expired() {
    let mut table = JobTable::default();
    table.apply(JobCommand::Submit(submission(0, 0)));
    table.apply(JobCommand::Assign(vec![JobReassignment {
        job: name(0),
        after: 1,
        driver: 2,
    }]));
    let ends = (0..TASKS).map(|task| end(0, task, 2, 1, true)).collect();
    table.apply(JobCommand::RecordEnds(ends));
    let earlier = JobCommand::RecordEnds(vec![end(0, 0, 1, 1, true)]);
    let own = JobCommand::RecordEnds(vec![end(0, 0, 2, 2, true)]);

    let after_its_end = table.apply(earlier.clone());
    let of_the_last_epoch = table.apply(own);
    table.apply(JobCommand::Expire(1));
    let after_expiry = table.apply(earlier);

    let decided = |decision| CommandOutcome::Ends(vec![decision]);
    assert_eq!(after_its_end, decided(EndDecision::Fenced));
    assert_eq!(of_the_last_epoch, decided(EndDecision::JobOver));
    assert_eq!(after_expiry, decided(EndDecision::Fenced));
}

#[test]
fn a_full_table_refuses_new_jobs_and_still_knows_the_old_ones() {
    let mut table = JobTable::default();
    let mut large = submission(0, 0);
    large.body = vec![0; MAX_OPEN_BYTES - 100];
    table.apply(JobCommand::Submit(large.clone()));
    let mut next = submission(1, 0);
    next.body = vec![0; 200];

    let refused = table.apply(JobCommand::Submit(next.clone()));
    let known = table.apply(JobCommand::Submit(large));
    table.apply(JobCommand::Cancel(name(0)));
    let accepted = table.apply(JobCommand::Submit(next));

    assert_eq!(refused, CommandOutcome::Submit(SubmitOutcome::Full));
    assert_eq!(known, CommandOutcome::Submit(SubmitOutcome::Known));
    let expected = CommandOutcome::Submit(SubmitOutcome::Accepted(1));
    assert_eq!(accepted, expected);
}
