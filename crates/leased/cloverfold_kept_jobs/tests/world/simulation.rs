//! Simulation of one log with its current leader, entries, guards and callers, in steps of 10 ms.

use std::time::Duration;

use cloverfold_base::Timestamp;
use cloverfold_kept_jobs::{
    CancelOutcome, CommandOutcome, DriverTable, EndDecision, EndOutcome, JobAssignment, JobCommand,
    JobId, JobSubmission, JobTable, KeptJobTimings, ReleasedJob, RenewalReply, SubmitOutcome,
    TaskEnd, job_assignment,
};

use crate::checker::{History, ObservedRun};
use crate::entries::{Entry, Run};
use crate::events::{EntryIndex, Event, Term};
use crate::rng::Rng;

const STEP: Duration = Duration::from_millis(10);
/// Time until which faults are injected: lost and late messages, and process failures.
const FAULTS_UNTIL: Timestamp = Timestamp::from_start(Duration::from_secs(20));
const END: Timestamp = Timestamp::from_start(Duration::from_secs(40));
const ENTRIES: usize = 3;
const JOBS: u64 = 12;

/// Protocol bug that the simulation reproduces, to test that the checker detects it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProtocolBug {
    None,
    /// Run ends are recorded whatever their epoch.
    RecordStaleEnds,
    /// A job is handed over as soon as its driver's lease has expired.
    NoHandoverDelay,
    /// Drivers accept unsolicited assignments, even of jobs that they drove in the same epoch before.
    AcceptStaleAssignments,
    /// A submission is answered before it is committed.
    AnswerBeforeCommit,
}

/// A command that the leader has appended.
struct Proposed {
    commit_at: Timestamp,
    command: JobCommand,
    /// The entry that sent it, if it is a submission.
    from: Option<EntryIndex>,
}

/// A caller that resends its job until it is answered.
struct Caller {
    job: JobId,
    tasks: u8,
    sends_at: Timestamp,
    cancels_at: Option<Timestamp>,
}

pub struct Simulation {
    now: Timestamp,
    rng: Rng,
    bug: ProtocolBug,
    pub table: JobTable,
    term: Term,
    drivers: DriverTable,
    proposed: Vec<Proposed>,
    entries: Vec<Entry>,
    callers: Vec<Caller>,
    /// Run ends that guards resend until they are decided.
    ends: Vec<(Timestamp, TaskEnd)>,
    in_flight: Vec<(Timestamp, Event)>,
    pub history: History,
}

fn timings(bug: ProtocolBug) -> KeptJobTimings {
    let mut timings = KeptJobTimings::default();
    if bug == ProtocolBug::NoHandoverDelay {
        timings.run_termination_bound = Duration::ZERO;
    }
    timings
}

impl Simulation {
    pub fn new(seed: u64, bug: ProtocolBug) -> Self {
        let mut rng = Rng::new(seed);
        let entries = (0..ENTRIES).map(|index| Entry::new(index, &mut rng));
        let entries = entries.collect();
        let callers = (0..JOBS).map(|number| Caller {
            job: format!("job-{number}"),
            tasks: 1 + rng.below(3) as u8,
            sends_at: Timestamp::ZERO + rng.millis(0, 15_000),
            cancels_at: rng.one_in(6).then_some(Timestamp::ZERO),
        });
        Self {
            callers: callers.collect(),
            now: Timestamp::ZERO,
            rng,
            bug,
            table: JobTable::default(),
            term: 1,
            drivers: DriverTable::new(timings(bug), Timestamp::ZERO),
            proposed: Vec::new(),
            entries,
            ends: Vec::new(),
            in_flight: Vec::new(),
            history: History::default(),
        }
    }

    pub fn run(&mut self) {
        while self.now < END {
            self.now += STEP;
            self.inject_faults();
            self.deliver();
            self.commit();
            self.propose_handovers();
            for index in 0..ENTRIES {
                self.step_entry(index);
            }
            self.end_runs();
            self.resend_ends();
            self.step_callers();
        }
    }

    fn has_faults(&self) -> bool {
        self.now < FAULTS_UNTIL
    }

    /// Sends a message, which may be lost or delayed while faults are injected.
    fn send(&mut self, event: Event) {
        let is_lost = self.has_faults() && self.rng.one_in(8);
        let is_late = self.has_faults() && self.rng.one_in(8);
        let delay = self.rng.millis(0, if is_late { 3_000 } else { 60 });
        if !is_lost {
            self.in_flight.push((self.now + delay, event));
        }
    }

    fn inject_faults(&mut self) {
        if !self.has_faults() {
            return;
        }
        if self.rng.one_in(300) {
            self.change_leader();
        }
        for index in 0..ENTRIES {
            if self.rng.one_in(600) {
                self.entries[index].unreachable_until = self.now + self.rng.millis(100, 4_000);
            }
            if self.rng.one_in(800) {
                // The process restarts.
                self.entries[index].lose_lease(&mut self.rng, self.now);
            }
        }
    }

    /// Commits or loses each command that the earlier leader had appended. None of them is answered.
    fn change_leader(&mut self) {
        for proposed in std::mem::take(&mut self.proposed) {
            if self.rng.one_in(2) {
                self.apply(proposed.command, None);
            }
        }
        self.term += 1;
        self.drivers = DriverTable::new(timings(self.bug), self.now);
    }

    fn propose(&mut self, command: JobCommand, from: Option<EntryIndex>) {
        let commit_at = self.now + self.rng.millis(10, 300);
        self.proposed.push(Proposed {
            commit_at,
            command,
            from,
        });
    }

    fn commit(&mut self) {
        // Commands are committed in order.
        while self
            .proposed
            .first()
            .is_some_and(|proposed| proposed.commit_at <= self.now)
        {
            let proposed = self.proposed.remove(0);
            self.apply(proposed.command, proposed.from);
        }
    }

    fn apply(&mut self, mut command: JobCommand, from: Option<EntryIndex>) {
        if let (ProtocolBug::RecordStaleEnds, JobCommand::RecordEnds(ends)) =
            (self.bug, &mut command)
        {
            for end in ends {
                let open = self.table.open().get(&end.job);
                end.epoch = open.map_or(end.epoch, |open| open.epoch());
            }
        }
        let outcome = self.table.apply(command.clone());
        match (command, outcome) {
            (JobCommand::Submit(job), CommandOutcome::Submit(outcome)) => {
                self.answer_submission(&job, outcome, from);
            }
            (JobCommand::RecordEnds(ends), CommandOutcome::Ends(decisions)) => {
                for (end, decision) in ends.into_iter().zip(decisions) {
                    self.record_decision(&end, decision);
                    self.send(Event::EndDecided(end));
                }
            }
            (JobCommand::Cancel(job), CommandOutcome::Cancel(outcome))
                if outcome != CancelOutcome::Unknown =>
            {
                self.send(Event::Cancelled(job));
            }
            (JobCommand::Assign(reassignments), CommandOutcome::Assigned(jobs)) => {
                self.history.handovers += jobs.len() as u64;
                let handed_over = reassignments.iter().map(|reassignment| &reassignment.job);
                self.drivers.complete_handover(handed_over, self.now);
                for reassignment in reassignments.iter().filter(|a| jobs.contains(&a.job)) {
                    let open = self.table.open().get(&reassignment.job);
                    let assignment = open.map(|open| job_assignment(&reassignment.job, open));
                    self.send_assignment(reassignment.driver, assignment);
                }
            }
            _ => {}
        }
    }

    fn answer_submission(
        &mut self,
        job: &JobSubmission,
        outcome: SubmitOutcome,
        from: Option<EntryIndex>,
    ) {
        let is_alive = self.drivers.is_alive(job.driver, self.now);
        let reported = match outcome {
            SubmitOutcome::Accepted(_) if !is_alive => SubmitOutcome::Known,
            outcome => outcome,
        };
        if let Some(index) = from {
            self.send(Event::Submitted(
                index,
                job.driver,
                job.id.clone(),
                reported,
            ));
        }
    }

    fn record_decision(&mut self, end: &TaskEnd, decision: EndDecision) {
        if decision == EndDecision::Fenced {
            self.history.fenced_ends += 1;
        }
        if decision == EndDecision::Recorded && end.outcome == EndOutcome::Done {
            let epoch = end.run / cloverfold_kept_jobs::RUNS_PER_EPOCH;
            let task = (end.job.clone(), end.task);
            self.history.done.entry(task).or_insert((epoch, self.now));
        }
    }

    /// Sends an unsolicited assignment to a driver.
    fn send_assignment(&mut self, driver: u64, assignment: Option<JobAssignment>) {
        let name = self.drivers.entry_of(driver).map(str::to_owned);
        let index = self
            .entries
            .iter()
            .position(|e| Some(&e.name) == name.as_ref());
        if let Some(index) = index {
            let drive = assignment.into_iter().collect();
            let drop = Vec::new();
            let reply = RenewalReply {
                driver,
                drive,
                drop,
            };
            self.send(Event::Renewed(index, None, reply));
        }
    }

    fn propose_handovers(&mut self) {
        let planned = self.drivers.plan_handover(&self.table, self.now);
        if !planned.is_empty() {
            self.propose(JobCommand::Assign(planned), None);
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, rest) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.in_flight = rest;
        let due: Vec<(Timestamp, Event)> = due;
        for (_, event) in due {
            self.receive(event);
        }
    }

    fn receive(&mut self, event: Event) {
        match event {
            Event::Submit(index, job) => {
                if self.bug == ProtocolBug::AnswerBeforeCommit {
                    let reported = SubmitOutcome::Known;
                    self.send(Event::Submitted(
                        index,
                        job.driver,
                        job.id.clone(),
                        reported,
                    ));
                }
                self.propose(JobCommand::Submit(job), Some(index));
            }
            Event::Submitted(index, driver, job, outcome) => {
                self.receive_submitted(index, driver, &job, outcome);
            }
            Event::Renew(index, sent_at, renewal) => {
                let driver = renewal.driver;
                self.drivers.renew(&self.table, renewal, self.now);
                let confirmed_at = self.now + self.rng.millis(5, 100);
                let confirmation = Event::LeadershipConfirmed(self.term, index, sent_at, driver);
                self.in_flight.push((confirmed_at, confirmation));
            }
            Event::LeadershipConfirmed(term, index, sent_at, driver) => {
                if term == self.term {
                    let reply = self.drivers.renewal_reply(&self.table, driver);
                    self.send(Event::Renewed(index, Some(sent_at), reply));
                }
            }
            Event::Renewed(index, sent_at, reply) => self.receive_renewed(index, sent_at, &reply),
            Event::Release(driver, job) => {
                let now = self.now;
                self.drivers.release(&self.table, driver, vec![job], now);
            }
            Event::RecordEnd(end) => self.propose(JobCommand::RecordEnds(vec![end]), None),
            Event::EndDecided(end) => self.ends.retain(|(_, known)| *known != end),
            Event::Cancel(job) => self.propose(JobCommand::Cancel(job), None),
            Event::Cancelled(job) => {
                self.callers.retain(|caller| caller.job != job);
                self.history.cancelled.insert(job);
            }
        }
    }

    fn receive_submitted(
        &mut self,
        index: EntryIndex,
        driver: u64,
        job: &JobId,
        outcome: SubmitOutcome,
    ) {
        let now = self.now;
        let caller = self.callers.iter_mut().find(|caller| caller.job == *job);
        if let Some(caller) = caller {
            let tasks = caller.tasks;
            let entry = &mut self.entries[index];
            if let SubmitOutcome::Accepted(epoch) = outcome
                && entry.driver == driver
            {
                let body = vec![tasks];
                let assignment = JobAssignment {
                    job: job.clone(),
                    epoch,
                    body,
                    progress: Vec::new(),
                };
                entry.drive(&assignment, now);
            }
            if caller.cancels_at.is_some() {
                caller.cancels_at = Some(now + self.rng.millis(0, 2_000));
            }
        }
        self.history.accepted.insert(job.clone());
        self.callers
            .retain(|caller| caller.job != *job || caller.cancels_at.is_some());
    }

    fn receive_renewed(
        &mut self,
        index: EntryIndex,
        sent_at: Option<Timestamp>,
        reply: &RenewalReply,
    ) {
        let now = self.now;
        let entry = &mut self.entries[index];
        let is_lapsed = entry.lease_until.is_some_and(|until| now >= until);
        if reply.driver != entry.driver || is_lapsed {
            return;
        }
        for (job, epoch) in &reply.drop {
            entry.drop_job(job, *epoch, now);
        }
        let is_overtaken = sent_at.is_some_and(|at| Some(at) <= entry.newest_answered_at);
        let Some(sent_at) = sent_at.filter(|_| !is_overtaken) else {
            // An unsolicited assignment may be older than a drop, so only the reply to a renewal counts.
            entry.renewed_at = Timestamp::ZERO;
            if self.bug == ProtocolBug::AcceptStaleAssignments {
                entry.retired.clear();
                reply
                    .drive
                    .iter()
                    .for_each(|assignment| entry.drive(assignment, now));
            }
            return;
        };
        entry.newest_answered_at = Some(sent_at);
        let until = sent_at + KeptJobTimings::default().driver_lease;
        entry.lease_until = entry.lease_until.max(Some(until));
        for assignment in &reply.drive {
            self.receive_assignment(index, assignment);
        }
    }

    /// Drives an assigned job, or releases it again if it was released before, since the first release may be lost.
    fn receive_assignment(&mut self, index: EntryIndex, assignment: &JobAssignment) {
        let now = self.now;
        let entry = &mut self.entries[index];
        let (job, epoch) = (assignment.job.clone(), assignment.epoch);
        if entry.retired.contains(&(job.clone(), epoch)) {
            let driver = entry.driver;
            let is_clean = !entry.runs.iter().any(|run| run.job == job);
            let released = ReleasedJob {
                job,
                epoch,
                is_clean,
            };
            self.send(Event::Release(driver, released));
        } else {
            entry.drive(assignment, now);
        }
    }

    fn step_entry(&mut self, index: EntryIndex) {
        let now = self.now;
        let entry = &mut self.entries[index];
        if entry.lease_until.is_some_and(|until| now >= until) {
            entry.lose_lease(&mut self.rng, now);
        }
        let interval = KeptJobTimings::default().renewal_interval;
        let is_unreachable = now < entry.unreachable_until;
        if now >= entry.renewed_at + interval && !is_unreachable {
            entry.renewed_at = now;
            let renewal = entry.renewal();
            self.send(Event::Renew(index, now, renewal));
        }
        let entry = &mut self.entries[index];
        if entry.has_lease(now) {
            entry.start_runs(&mut self.rng, now);
        }
        if self.has_faults() && self.rng.one_in(150) {
            self.release_idle_job(index);
        }
    }

    /// Releases the first driven job that has no runs.
    fn release_idle_job(&mut self, index: EntryIndex) {
        let entry = &mut self.entries[index];
        let runs = &entry.runs;
        let idle = entry.driving.iter();
        let mut idle = idle.filter(|(job, _)| !runs.iter().any(|run| run.job == **job));
        let Some((job, driven)) = idle.next() else {
            return;
        };
        let (job, epoch) = (job.clone(), driven.epoch);
        entry.driving.remove(&job);
        entry.retired.insert((job.clone(), epoch));
        let driver = entry.driver;
        let is_clean = true;
        let released = ReleasedJob {
            job,
            epoch,
            is_clean,
        };
        self.send(Event::Release(driver, released));
    }

    /// Ends the runs that have finished or are stopped.
    fn end_runs(&mut self) {
        for index in 0..ENTRIES {
            let now = self.now;
            let runs = std::mem::take(&mut self.entries[index].runs);
            for run in runs {
                let stopped = run.stopped_at.is_some_and(|at| at <= now);
                if !stopped && run.ends_at > now {
                    self.entries[index].runs.push(run);
                    continue;
                }
                self.end_run(index, &run, !stopped);
            }
        }
    }

    fn end_run(&mut self, index: EntryIndex, run: &Run, is_finished: bool) {
        self.history.runs.push(ObservedRun {
            job: run.job.clone(),
            task: run.task,
            epoch: run.epoch,
            from: run.from,
            to: self.now,
        });
        if !is_finished {
            return;
        }
        let outcome = if self.rng.one_in(12) {
            EndOutcome::Failed
        } else {
            EndOutcome::Done
        };
        let driven = self.entries[index].driving.get_mut(&run.job);
        if outcome == EndOutcome::Done
            && let Some(driven) = driven.filter(|driven| driven.epoch == run.epoch)
        {
            driven.done.insert(run.task);
        }
        let end = TaskEnd {
            job: run.job.clone(),
            epoch: run.epoch,
            task: run.task,
            run: run.run,
            outcome,
        };
        self.ends.push((self.now, end));
    }

    fn resend_ends(&mut self) {
        let now = self.now;
        let mut sent = Vec::new();
        for (at, end) in &mut self.ends {
            if *at <= now {
                *at = now + Duration::from_millis(300);
                sent.push(end.clone());
            }
        }
        for end in sent {
            self.send(Event::RecordEnd(end));
        }
    }

    fn step_callers(&mut self) {
        let now = self.now;
        let mut sent = Vec::new();
        for caller in &mut self.callers {
            let is_accepted = self.history.accepted.contains(&caller.job);
            if caller.sends_at > now {
                continue;
            }
            caller.sends_at = now + Duration::from_millis(500);
            if !is_accepted {
                sent.push((caller.job.clone(), Some(caller.tasks)));
            } else if caller.cancels_at.is_some_and(|at| at <= now) {
                sent.push((caller.job.clone(), None));
            }
        }
        for (job, tasks) in sent {
            match tasks {
                Some(tasks) => self.submit(job, tasks),
                None => self.send(Event::Cancel(job)),
            }
        }
    }

    fn submit(&mut self, id: JobId, tasks: u8) {
        let index = self.rng.below(ENTRIES as u64) as usize;
        let job = JobSubmission {
            id,
            queue: "queue".into(),
            digest: [tasks; 16],
            body: vec![tasks],
            tasks: tasks.into(),
            max_attempts: 100,
            driver: self.entries[index].driver,
        };
        self.send(Event::Submit(index, job));
    }
}
