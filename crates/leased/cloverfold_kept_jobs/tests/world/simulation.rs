//! The world: one log, the leader of the moment, entries, guards and callers, in steps of 10 ms.

use std::time::Duration;

use cloverfold_base::Timestamp;
use cloverfold_kept_jobs::{
    CancelOutcome, CommandOutcome, DriverTable, EndDecision, EndOutcome, JobAssignment, JobCommand,
    JobId, JobSubmission, JobTable, KeptJobTimings, ReleasedJob, RenewalReply, SubmitOutcome,
    TaskEnd, job_assignment,
};

use crate::checker::{History, SeenRun};
use crate::draws::Draws;
use crate::entries::{Entry, Run};
use crate::events::{EntryPlace, Event, Term};

const STEP: Duration = Duration::from_millis(10);
/// Until then messages are lost, and processes fail.
const TROUBLE: Timestamp = Timestamp::from_start(Duration::from_secs(20));
const END: Timestamp = Timestamp::from_start(Duration::from_secs(40));
const ENTRIES: usize = 3;
const JOBS: u64 = 12;

/// What the world does wrong on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    None,
    /// Ends count in whatever epoch they come.
    OldEndsCount,
    /// A job is handed on as soon as its driver's lease is over.
    NoWait,
    /// Drivers take orders that come unasked, also when they drove the job in that epoch before.
    LateOrders,
    /// A submission is answered before it is committed.
    EarlyAnswer,
}

/// A command that the leader has appended.
struct Proposed {
    commit_at: Timestamp,
    command: JobCommand,
    /// The entry whose submission it is.
    from: Option<EntryPlace>,
}

/// A caller that sends its job until it is answered.
struct Caller {
    job: JobId,
    tasks: u8,
    sends_at: Timestamp,
    cancels_at: Option<Timestamp>,
}

pub struct World {
    now: Timestamp,
    draws: Draws,
    fault: Fault,
    pub table: JobTable,
    term: Term,
    drivers: DriverTable,
    proposed: Vec<Proposed>,
    entries: Vec<Entry>,
    callers: Vec<Caller>,
    /// Ends that guards repeat until they are decided.
    ends: Vec<(Timestamp, TaskEnd)>,
    under_way: Vec<(Timestamp, Event)>,
    pub history: History,
}

fn timings(fault: Fault) -> KeptJobTimings {
    let mut timings = KeptJobTimings::default();
    if fault == Fault::NoWait {
        timings.run_termination_bound = Duration::ZERO;
    }
    timings
}

impl World {
    pub fn new(seed: u64, fault: Fault) -> Self {
        let mut draws = Draws::new(seed);
        let entries = (0..ENTRIES).map(|place| Entry::new(place, &mut draws));
        let entries = entries.collect();
        let callers = (0..JOBS).map(|number| Caller {
            job: format!("job-{number}"),
            tasks: 1 + draws.below(3) as u8,
            sends_at: Timestamp::ZERO + draws.millis(0, 15_000),
            cancels_at: draws.one_in(6).then_some(Timestamp::ZERO),
        });
        Self {
            callers: callers.collect(),
            now: Timestamp::ZERO,
            draws,
            fault,
            table: JobTable::default(),
            term: 1,
            drivers: DriverTable::new(timings(fault), Timestamp::ZERO),
            proposed: Vec::new(),
            entries,
            ends: Vec::new(),
            under_way: Vec::new(),
            history: History::default(),
        }
    }

    pub fn run(&mut self) {
        while self.now < END {
            self.now += STEP;
            self.make_trouble();
            self.deliver();
            self.commit();
            self.hand_on();
            for place in 0..ENTRIES {
                self.step_entry(place);
            }
            self.end_runs();
            self.repeat_ends();
            self.step_callers();
        }
    }

    fn is_in_trouble(&self) -> bool {
        self.now < TROUBLE
    }

    /// Sends a message that may be lost or late.
    fn send(&mut self, event: Event) {
        let is_lost = self.is_in_trouble() && self.draws.one_in(8);
        let is_late = self.is_in_trouble() && self.draws.one_in(8);
        let delay = self.draws.millis(0, if is_late { 3_000 } else { 60 });
        if !is_lost {
            self.under_way.push((self.now + delay, event));
        }
    }

    fn make_trouble(&mut self) {
        if !self.is_in_trouble() {
            return;
        }
        if self.draws.one_in(300) {
            self.change_leader();
        }
        for place in 0..ENTRIES {
            if self.draws.one_in(600) {
                self.entries[place].away_until = self.now + self.draws.millis(100, 4_000);
            }
            if self.draws.one_in(800) {
                // The process dies and comes back.
                self.entries[place].lapse(&mut self.draws, self.now);
            }
        }
    }

    /// What the earlier leader had appended is committed or lost; nobody is answered.
    fn change_leader(&mut self) {
        for proposed in std::mem::take(&mut self.proposed) {
            if self.draws.one_in(2) {
                self.apply(proposed.command, None);
            }
        }
        self.term += 1;
        self.drivers = DriverTable::new(timings(self.fault), self.now);
    }

    fn propose(&mut self, command: JobCommand, from: Option<EntryPlace>) {
        let commit_at = self.now + self.draws.millis(10, 300);
        self.proposed.push(Proposed {
            commit_at,
            command,
            from,
        });
    }

    fn commit(&mut self) {
        // In order: the first that is not due holds up the rest.
        while self
            .proposed
            .first()
            .is_some_and(|p| p.commit_at <= self.now)
        {
            let proposed = self.proposed.remove(0);
            self.apply(proposed.command, proposed.from);
        }
    }

    fn apply(&mut self, mut command: JobCommand, from: Option<EntryPlace>) {
        if let (Fault::OldEndsCount, JobCommand::RecordEnds(ends)) = (self.fault, &mut command) {
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
                    self.note_end(&end, decision);
                    self.send(Event::EndDecided(end));
                }
            }
            (JobCommand::Cancel(job), CommandOutcome::Cancel(outcome))
                if outcome != CancelOutcome::Unknown =>
            {
                self.send(Event::Cancelled(job));
            }
            (JobCommand::Assign(assignees), CommandOutcome::Assigned(jobs)) => {
                self.history.handed_on += jobs.len() as u64;
                self.drivers
                    .complete_handover(assignees.iter().map(|a| &a.job));
                for assignee in assignees.iter().filter(|a| jobs.contains(&a.job)) {
                    let open = self.table.open().get(&assignee.job);
                    let order = open.map(|open| job_assignment(&assignee.job, open));
                    self.push(assignee.driver, order);
                }
            }
            _ => {}
        }
    }

    fn answer_submission(
        &mut self,
        job: &JobSubmission,
        outcome: SubmitOutcome,
        from: Option<EntryPlace>,
    ) {
        let is_alive = self.drivers.is_alive(job.driver, self.now);
        let told = match outcome {
            SubmitOutcome::Accepted(_) if !is_alive => SubmitOutcome::Known,
            outcome => outcome,
        };
        if let Some(place) = from {
            self.send(Event::Submitted(place, job.driver, job.id.clone(), told));
        }
    }

    fn note_end(&mut self, end: &TaskEnd, decision: EndDecision) {
        if decision == EndDecision::Fenced {
            self.history.fenced += 1;
        }
        if decision == EndDecision::Recorded && end.outcome == EndOutcome::Done {
            let epoch = end.run / cloverfold_kept_jobs::RUNS_PER_EPOCH;
            let task = (end.job.clone(), end.task);
            self.history.done.entry(task).or_insert((epoch, self.now));
        }
    }

    /// Tells a driver unasked of a job that it was given.
    fn push(&mut self, driver: u64, order: Option<JobAssignment>) {
        let name = self.drivers.entry_of(driver).map(str::to_owned);
        let place = self
            .entries
            .iter()
            .position(|e| Some(&e.name) == name.as_ref());
        if let Some(place) = place {
            let drive = order.into_iter().collect();
            let drop = Vec::new();
            let reply = RenewalReply {
                driver,
                drive,
                drop,
            };
            self.send(Event::Renewed(place, None, reply));
        }
    }

    fn hand_on(&mut self) {
        let planned = self.drivers.plan_handover(&self.table, self.now);
        if !planned.is_empty() {
            self.propose(JobCommand::Assign(planned), None);
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, rest) = std::mem::take(&mut self.under_way)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.under_way = rest;
        let due: Vec<(Timestamp, Event)> = due;
        for (_, event) in due {
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Submit(place, job) => {
                if self.fault == Fault::EarlyAnswer {
                    let told = SubmitOutcome::Known;
                    self.send(Event::Submitted(place, job.driver, job.id.clone(), told));
                }
                self.propose(JobCommand::Submit(job), Some(place));
            }
            Event::Submitted(place, driver, job, outcome) => {
                self.submitted(place, driver, &job, outcome);
            }
            Event::Renew(place, sent_at, renewal) => {
                let driver = renewal.driver;
                self.drivers.renew(renewal, self.now);
                let proved_at = self.now + self.draws.millis(5, 100);
                let proof = Event::Proved(self.term, place, sent_at, driver);
                self.under_way.push((proved_at, proof));
            }
            Event::Proved(term, place, sent_at, driver) => {
                if term == self.term {
                    let reply = self.drivers.renewal_reply(&self.table, driver);
                    self.send(Event::Renewed(place, Some(sent_at), reply));
                }
            }
            Event::Renewed(place, sent_at, reply) => self.renewed(place, sent_at, &reply),
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

    fn submitted(&mut self, place: EntryPlace, driver: u64, job: &JobId, outcome: SubmitOutcome) {
        let now = self.now;
        let caller = self.callers.iter_mut().find(|caller| caller.job == *job);
        if let Some(caller) = caller {
            let tasks = caller.tasks;
            let entry = &mut self.entries[place];
            if let SubmitOutcome::Accepted(epoch) = outcome
                && entry.driver == driver
            {
                let body = vec![tasks];
                let order = JobAssignment {
                    job: job.clone(),
                    epoch,
                    body,
                    progress: Vec::new(),
                };
                entry.drive(&order, now);
            }
            if caller.cancels_at.is_some() {
                caller.cancels_at = Some(now + self.draws.millis(0, 2_000));
            }
        }
        self.history.accepted.insert(job.clone());
        self.callers
            .retain(|caller| caller.job != *job || caller.cancels_at.is_some());
    }

    fn renewed(&mut self, place: EntryPlace, sent_at: Option<Timestamp>, reply: &RenewalReply) {
        let now = self.now;
        let entry = &mut self.entries[place];
        let is_lapsed = entry.lease_until.is_some_and(|until| now >= until);
        if reply.driver != entry.driver || is_lapsed {
            return;
        }
        for (job, epoch) in &reply.drop {
            entry.drop_job(job, *epoch, now);
        }
        let is_overtaken = sent_at.is_some_and(|at| Some(at) <= entry.answered);
        let Some(sent_at) = sent_at.filter(|_| !is_overtaken) else {
            // An order that comes unasked may be older than a drop: only the answer to a renewal counts.
            entry.renewed_at = Timestamp::ZERO;
            if self.fault == Fault::LateOrders {
                entry.gone.clear();
                reply.drive.iter().for_each(|order| entry.drive(order, now));
            }
            return;
        };
        entry.answered = Some(sent_at);
        let until = sent_at + KeptJobTimings::default().driver_lease;
        entry.lease_until = entry.lease_until.max(Some(until));
        for order in &reply.drive {
            self.take_order(place, order);
        }
    }

    /// Drives a job that is ordered, or gives it back once more: the first release may be lost.
    fn take_order(&mut self, place: EntryPlace, order: &JobAssignment) {
        let now = self.now;
        let entry = &mut self.entries[place];
        let (job, epoch) = (order.job.clone(), order.epoch);
        if entry.gone.contains(&(job.clone(), epoch)) {
            let driver = entry.driver;
            let is_clean = !entry.runs.iter().any(|run| run.job == job);
            let released = ReleasedJob {
                job,
                epoch,
                is_clean,
            };
            self.send(Event::Release(driver, released));
        } else {
            entry.drive(order, now);
        }
    }

    fn step_entry(&mut self, place: EntryPlace) {
        let now = self.now;
        let entry = &mut self.entries[place];
        if entry.lease_until.is_some_and(|until| now >= until) {
            entry.lapse(&mut self.draws, now);
        }
        let interval = KeptJobTimings::default().renewal_interval;
        let is_away = now < entry.away_until;
        if now >= entry.renewed_at + interval && !is_away {
            entry.renewed_at = now;
            let renewal = entry.renewal();
            self.send(Event::Renew(place, now, renewal));
        }
        let entry = &mut self.entries[place];
        if entry.has_lease(now) {
            entry.begin_runs(&mut self.draws, now);
        }
        if self.is_in_trouble() && self.draws.one_in(150) {
            self.release_one(place);
        }
    }

    /// Gives back a job of which nothing runs.
    fn release_one(&mut self, place: EntryPlace) {
        let entry = &mut self.entries[place];
        let runs = &entry.runs;
        let idle = entry.driving.iter();
        let mut idle = idle.filter(|(job, _)| !runs.iter().any(|run| run.job == **job));
        let Some((job, driven)) = idle.next() else {
            return;
        };
        let (job, epoch) = (job.clone(), driven.epoch);
        entry.driving.remove(&job);
        entry.gone.insert((job.clone(), epoch));
        let driver = entry.driver;
        let is_clean = true;
        let released = ReleasedJob {
            job,
            epoch,
            is_clean,
        };
        self.send(Event::Release(driver, released));
    }

    /// Ends the runs that are done or stopped.
    fn end_runs(&mut self) {
        for place in 0..ENTRIES {
            let now = self.now;
            let runs = std::mem::take(&mut self.entries[place].runs);
            for run in runs {
                let stopped = run.stopped_at.is_some_and(|at| at <= now);
                if !stopped && run.ends_at > now {
                    self.entries[place].runs.push(run);
                    continue;
                }
                self.end_run(place, &run, !stopped);
            }
        }
    }

    fn end_run(&mut self, place: EntryPlace, run: &Run, is_over_by_itself: bool) {
        self.history.runs.push(SeenRun {
            job: run.job.clone(),
            task: run.task,
            epoch: run.epoch,
            from: run.from,
            to: self.now,
        });
        if !is_over_by_itself {
            return;
        }
        let outcome = if self.draws.one_in(12) {
            EndOutcome::Failed
        } else {
            EndOutcome::Done
        };
        let driven = self.entries[place].driving.get_mut(&run.job);
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

    fn repeat_ends(&mut self) {
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
        let place = self.draws.below(ENTRIES as u64) as usize;
        let job = JobSubmission {
            id,
            queue: "queue".into(),
            digest: [tasks; 16],
            body: vec![tasks],
            tasks: tasks.into(),
            max_attempts: 100,
            driver: self.entries[place].driver,
        };
        self.send(Event::Submit(place, job));
    }
}
