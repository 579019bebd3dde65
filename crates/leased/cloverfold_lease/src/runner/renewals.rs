//! Holds: the lease is renewed, ends are noted, and what runs is compared with what should.

use std::time::Duration;

use crate::messages::{Refusal, RunOutcome, TaskId};
use crate::runner::Runner;
use crate::runner::orders::{EndCause, EndedRun, HeldRun, HoldAnswer, HoldOrder};
use crate::runner::run::RunState;
use crate::timings::{Moment, TargetTime};

impl Runner {
    /// Makes the next order that renews the lease; `None` without a target.
    ///
    /// An unclean target gets no longer lease, so that what nobody vouches for may lapse.
    pub fn plan_hold(&mut self, now: Moment) -> Option<HoldOrder> {
        let lease = self.timings.lease;
        let slack = self.timings.answer_slack;
        let wait = self.timings.hold_wait;
        let target = self.target.as_mut()?;
        let wait = if target.has_only_own_runs {
            wait
        } else {
            Duration::ZERO
        };
        let deadline = target
            .next_deadline(now, lease)
            .filter(|_| target.has_only_own_runs);
        target.latest_deadline = target.latest_deadline.max(deadline.unwrap_or_default());
        Some(HoldOrder {
            instance: target.registration.instance.clone(),
            address: target.registration.address.clone(),
            deadline,
            token: target.fencing_token,
            last_noted: target.last_acknowledged_end,
            wait,
            limit: wait + slack,
            sent_at: now,
        })
    }

    /// Takes the answer to a hold.
    pub fn hold_answered(&mut self, order: &HoldOrder, answer: HoldAnswer, now: Moment) {
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
                if order.sent_at < target.newest_renewal_sent_at {
                    // A newer answer has passed this one.
                    return;
                }
                target.newest_renewal_sent_at = order.sent_at;
                target.answered_at = now;
                target.is_unresponsive = false;
                target.read_clock(clock, now);
                self.record_ends(ended, now);
                self.reconcile_runs(order.sent_at, clock, &running, now);
                self.stop_stuck_runs(now);
                self.start_waiting(now);
                self.announce_target();
            }
            HoldAnswer::Fenced => target.raise_fencing_token(order.token),
            HoldAnswer::OtherInstance | HoldAnswer::Unanswered => {}
        }
    }

    fn record_ends(&mut self, ended: Vec<EndedRun>, now: Moment) {
        for end in ended {
            let Some(target) = &mut self.target else {
                return;
            };
            if end.number <= target.last_acknowledged_end {
                continue;
            }
            target.last_acknowledged_end = end.number;
            let held = self.runs.get(&end.task);
            if let Some(held) = held.filter(|held| held.run == end.run) {
                let outcome = match end.cause {
                    EndCause::Done => RunOutcome::Done,
                    EndCause::Failed => RunOutcome::Failed,
                    EndCause::Stopped => RunOutcome::Stopped,
                    EndCause::Lapsed => RunOutcome::Lost,
                };
                if outcome == RunOutcome::Done {
                    target.performance.record_done();
                    let ran = held.ran_for(now);
                    if !ran.is_zero() && !held.estimate.is_zero() {
                        let speed = held.estimate.as_secs_f64() / ran.as_secs_f64();
                        target.performance.record_speed(held.sequence, speed, now);
                    }
                }
                self.end_run(&end.task, outcome, now);
            }
        }
    }

    /// Compares what the target runs with what is held here.
    fn reconcile_runs(
        &mut self,
        asked_at: Moment,
        clock: TargetTime,
        running: &[HeldRun],
        now: Moment,
    ) {
        for row in running {
            let held = self.runs.get_mut(&row.task);
            let Some(held) = held.filter(|held| held.run == row.run) else {
                continue;
            };
            if let RunState::Starting { since, .. } = held.state {
                held.state = RunState::Running { since: now };
                held.started_at = Some(since);
                self.counts.started += 1;
            }
            let Some(target) = &mut self.target else {
                continue;
            };
            if held.progress.record(row.progress, now) {
                target.performance.record_progress();
            }
            let progress = &mut held.progress;
            if let Some(speed) = progress.measure_speed(row.progress, held.estimate, now) {
                target.performance.record_speed(held.sequence, speed, now);
            }
        }
        let is_listed = |task: &TaskId, run: u64| {
            running
                .iter()
                .any(|row| row.run == run && row.task == *task)
        };
        let mut over = Vec::new();
        for (task, held) in &self.runs {
            if is_listed(task, held.run) {
                continue;
            }
            let outcome = match held.state {
                RunState::Waiting { .. } => continue,
                RunState::Running { since } if asked_at > since => RunOutcome::Lost,
                RunState::Running { .. } => continue,
                RunState::Starting { deadline, .. } if clock > deadline => {
                    RunOutcome::NotStarted(Refusal::Unanswered)
                }
                RunState::Starting { .. } => continue,
                RunState::Stopping {
                    start_deadline,
                    ordered_at,
                    outcome_if_never_started,
                    ..
                } => match start_deadline {
                    Some(deadline) if clock > deadline => outcome_if_never_started,
                    Some(_) => continue,
                    None if asked_at > ordered_at => RunOutcome::Stopped,
                    None => continue,
                },
            };
            over.push((task.clone(), outcome));
        }
        for (task, outcome) in over {
            self.end_run(&task, outcome, now);
        }
        self.stop_orphans(running);
    }

    /// Stops what runs at the target and is not held here: runs of an earlier life of this process, or late starts.
    fn stop_orphans(&mut self, running: &[HeldRun]) {
        let is_ours = |row: &&HeldRun| {
            let held = self.runs.get(&row.task);
            held.is_some_and(|held| held.run == row.run)
        };
        let orphans: Vec<HeldRun> = running
            .iter()
            .filter(|row| !is_ours(row))
            .cloned()
            .collect();
        if let Some(target) = &mut self.target {
            target.has_only_own_runs = orphans.is_empty();
        }
        for orphan in orphans {
            self.counts.orphans += 1;
            self.order_stop(orphan.task, orphan.run);
        }
    }
}
