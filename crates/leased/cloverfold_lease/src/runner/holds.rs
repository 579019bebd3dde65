//! Holds: the lease is renewed, ends are noted, and what runs is compared with what should.

use std::time::Duration;

use cloverfold_base::Timestamp;

use crate::messages::{Refusal, RunOutcome, TaskId};
use crate::runner::Runner;
use crate::runner::held::HeldState;
use crate::runner::orders::{EndCause, EndedRun, HeldRun, HoldAnswer, HoldOrder};
use crate::timings::TargetTime;

impl Runner {
    /// Makes the next order that renews the lease; `None` without a target.
    ///
    /// An unclean target gets no longer lease, so that what nobody vouches for may lapse.
    pub fn plan_hold(&mut self, now: Timestamp) -> Option<HoldOrder> {
        let lease = self.timings.lease;
        let slack = self.timings.answer_slack;
        let wait = self.timings.hold_wait;
        let target = self.target.as_mut()?;
        let wait = if target.is_clean {
            wait
        } else {
            Duration::ZERO
        };
        let deadline = target.next_deadline(now, lease).filter(|_| target.is_clean);
        target.latest_deadline = target.latest_deadline.max(deadline.unwrap_or_default());
        Some(HoldOrder {
            instance: target.registration.instance.clone(),
            address: target.registration.address.clone(),
            deadline,
            token: target.token,
            last_noted: target.last_noted,
            wait,
            limit: wait + slack,
            sent_at: now,
        })
    }

    /// Takes the answer to a hold.
    pub fn hold_answered(&mut self, order: &HoldOrder, answer: HoldAnswer, now: Timestamp) {
        self.expire_sessions(now);
        let Some(target) = &mut self.target else {
            return;
        };
        if target.registration.instance != order.instance {
            return;
        }
        match answer {
            HoldAnswer::Listed {
                clock,
                running,
                ended,
            } => {
                if order.sent_at < target.newest_hold {
                    // A newer answer has passed this one.
                    return;
                }
                target.newest_hold = order.sent_at;
                target.answered_at = now;
                target.is_silent = false;
                target.read_clock(clock, now);
                self.take_ends(ended, now);
                self.compare_runs(order.sent_at, clock, &running, now);
                self.stop_stuck_runs(now);
                self.start_waiting(now);
                self.announce_target();
            }
            HoldAnswer::Fenced => target.raise_token(order.token),
            HoldAnswer::OtherInstance | HoldAnswer::Unanswered => {}
        }
    }

    fn take_ends(&mut self, ended: Vec<EndedRun>, now: Timestamp) {
        for end in ended {
            let Some(target) = &mut self.target else {
                return;
            };
            if end.number <= target.last_noted {
                continue;
            }
            target.last_noted = end.number;
            let held = self.tasks.get(&end.task);
            if let Some(held) = held.filter(|held| held.run == end.run) {
                let outcome = match end.cause {
                    EndCause::Done => RunOutcome::Done,
                    EndCause::Failed => RunOutcome::Failed,
                    EndCause::Stopped => RunOutcome::Stopped,
                    EndCause::Lapsed => RunOutcome::Lost,
                };
                if outcome == RunOutcome::Done {
                    target.conduct.note_done();
                    let ran = held.ran_for(now);
                    if !ran.is_zero() && !held.estimate.is_zero() {
                        let speed = held.estimate.as_secs_f64() / ran.as_secs_f64();
                        target.conduct.note_speed(held.order, speed, now);
                    }
                }
                self.end_task(&end.task, outcome, now);
            }
        }
    }

    /// Compares what the target runs with what is held here.
    fn compare_runs(
        &mut self,
        asked_at: Timestamp,
        clock: TargetTime,
        running: &[HeldRun],
        now: Timestamp,
    ) {
        for row in running {
            let held = self.tasks.get_mut(&row.task);
            let Some(held) = held.filter(|held| held.run == row.run) else {
                continue;
            };
            if let HeldState::Starting { since, .. } = held.state {
                held.state = HeldState::Running { since: now };
                held.started_at = Some(since);
                self.counts.started += 1;
            }
            let Some(target) = &mut self.target else {
                continue;
            };
            if held.progress.note(row.progress, now) {
                target.conduct.note_progress();
            }
            let progress = &mut held.progress;
            if let Some(speed) = progress.measure_speed(row.progress, held.estimate, now) {
                target.conduct.note_speed(held.order, speed, now);
            }
        }
        let is_listed = |task: &TaskId, run: u64| {
            running
                .iter()
                .any(|row| row.run == run && row.task == *task)
        };
        let mut over = Vec::new();
        for (task, held) in &self.tasks {
            if is_listed(task, held.run) {
                continue;
            }
            let outcome = match held.state {
                HeldState::Waiting { .. } => continue,
                HeldState::Running { since } if asked_at > since => RunOutcome::Lost,
                HeldState::Running { .. } => continue,
                HeldState::Starting { deadline, .. } if clock > deadline => {
                    RunOutcome::NotStarted(Refusal::Unanswered)
                }
                HeldState::Starting { .. } => continue,
                HeldState::Stopping {
                    start_deadline,
                    ordered_at,
                    unstarted,
                    ..
                } => match start_deadline {
                    Some(deadline) if clock > deadline => unstarted,
                    Some(_) => continue,
                    None if asked_at > ordered_at => RunOutcome::Stopped,
                    None => continue,
                },
            };
            over.push((task.clone(), outcome));
        }
        for (task, outcome) in over {
            self.end_task(&task, outcome, now);
        }
        self.stop_orphans(running);
    }

    /// Stops what runs at the target and is not held here: runs of an earlier life of this process, or late starts.
    fn stop_orphans(&mut self, running: &[HeldRun]) {
        let is_ours = |row: &&HeldRun| {
            let held = self.tasks.get(&row.task);
            held.is_some_and(|held| held.run == row.run)
        };
        let orphans: Vec<HeldRun> = running
            .iter()
            .filter(|row| !is_ours(row))
            .cloned()
            .collect();
        if let Some(target) = &mut self.target {
            target.is_clean = orphans.is_empty();
        }
        for orphan in orphans {
            self.counts.orphans += 1;
            self.order_stop(orphan.task, orphan.run);
        }
    }
}
