//! How jobs end before they are done, and runs that are not worth waiting for.

use cloverfold_base::Timestamp;

use crate::dispatcher::job::{Job, TaskPhase};
use crate::dispatcher::{
    Dispatcher, DispatcherAction, EndingRun, JobAnswer, JobNumber, JobRefusal, refuse,
};
use crate::messages::DispatcherMessage;

impl Dispatcher {
    /// Refuses what was held as long as it may be, and gives up what is too late.
    pub(super) fn end_hopeless_jobs(&mut self, now: Timestamp) {
        let is_unoffered = |job: &Job| !job.may_have_run() && now >= job.hold_until;
        let refused: Vec<JobNumber> = self
            .waiting
            .iter()
            .map(|(_, number)| *number)
            .filter(|number| self.jobs.get(number).is_some_and(is_unoffered))
            .collect();
        for number in refused {
            self.refuse_held(number, now);
        }
        let late: Vec<JobNumber> = self
            .jobs
            .iter()
            .filter(|(_, job)| now >= job.give_up_at)
            .map(|(number, _)| *number)
            .collect();
        for number in late {
            if self.jobs.get(&number).is_some_and(Job::may_have_run) {
                self.report_late(number, now);
                self.give_up(number, JobAnswer::GivenUp);
            } else {
                self.refuse_held(number, now);
            }
        }
    }

    fn refuse_held(&mut self, number: JobNumber, now: Timestamp) {
        if let Some(job) = self.jobs.get(&number) {
            let (id, held) = (
                job.request.id.clone(),
                now.saturating_duration_since(job.submitted_at),
            );
            self.report_refusal(&id, JobRefusal::NoRoom, held, now);
        }
        self.give_up(number, refuse(JobRefusal::NoRoom));
    }

    pub(super) fn withdraw_overdue_runs(&mut self, now: Timestamp) {
        let usual = self.usual_ratio;
        let mut overdue = Vec::new();
        let mut stragglers = Vec::new();
        for (number, job) in &self.jobs {
            for (index, task) in job.tasks.iter().enumerate() {
                let TaskPhase::Assigned {
                    session,
                    since,
                    is_withdrawn: false,
                    ..
                } = task.phase
                else {
                    continue;
                };
                let limit = job.overdue_after(task.step, usual);
                let age = now.saturating_duration_since(since);
                if age > limit {
                    overdue.push((*number, index, session));
                } else if let Some(view) = self.targets.get(&session)
                    && job.gains_elsewhere(task.step, usual, view.slowness_against(usual), age)
                {
                    stragglers.push((*number, index));
                }
            }
        }
        for (number, index) in stragglers {
            if self.has_faster_target(number, index, now) {
                self.counts.stragglers += 1;
                self.report_moved(number, index, now);
                self.withdraw_task(number, index);
            }
        }
        for (number, index, session) in overdue {
            self.counts.overdue += 1;
            self.report_overdue(number, index, session, now);
            self.note_trouble(session, now);
            self.withdraw_task(number, index);
        }
    }

    pub(super) fn give_up(&mut self, number: JobNumber, answer: JobAnswer) {
        self.close_job(number);
        self.answer(number, answer);
    }

    pub(super) fn answer(&mut self, number: JobNumber, answer: JobAnswer) {
        self.actions.push(DispatcherAction::Answer(number, answer));
    }

    /// Forgets a job and stops what runs of it.
    pub(super) fn close_job(&mut self, number: JobNumber) {
        let Some(job) = self.jobs.get(&number) else {
            return;
        };
        for index in 0..job.tasks.len() {
            self.withdraw_task(number, index);
        }
        let Some(job) = self.jobs.remove(&number) else {
            return;
        };
        self.waiting.remove(&(job.request.priority, number));
        if self.numbers.get(&job.request.id) == Some(&number) {
            self.numbers.remove(&job.request.id);
        }
        for task in job.tasks {
            let ending = match task.phase {
                TaskPhase::Assigned { session, run, .. } => EndingRun::At { session, run },
                TaskPhase::Uncertain => EndingRun::Uncertain,
                TaskPhase::Blocked | TaskPhase::Waiting | TaskPhase::Done => continue,
            };
            self.ending.insert(task.id, ending);
        }
    }

    pub(super) fn withdraw_task(&mut self, number: JobNumber, index: usize) {
        let job = self.jobs.get_mut(&number);
        let Some(task) = job.and_then(|job| job.tasks.get_mut(index)) else {
            return;
        };
        if let TaskPhase::Assigned {
            session,
            run,
            is_withdrawn,
            ..
        } = &mut task.phase
            && !*is_withdrawn
        {
            *is_withdrawn = true;
            self.counts.withdrawn += 1;
            let message = DispatcherMessage::Withdraw {
                task: task.id.clone(),
                run: *run,
            };
            self.actions.push(DispatcherAction::Send(*session, message));
        }
    }
}
