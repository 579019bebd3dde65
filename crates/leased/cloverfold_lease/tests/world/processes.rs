//! One simulation step of each runner, target and dispatcher.

use cloverfold_lease::{
    Dispatcher, DispatcherAction, HealthLimits, RenewalAnswer, RunnerAction, StartAnswer,
};
use rand::RngExt;

use super::{RENEWAL_TIMEOUT_MS, RUNNERS, World, WorldFaults};

impl World {
    pub(super) fn run_targets(&mut self) {
        for index in 0..RUNNERS {
            let starts = self.runners[index].target.step(self.now);
            self.starts += starts;
            self.check_evacuated_hall(index, starts);
        }
    }

    pub(super) fn step_runner(&mut self, index: usize) {
        let now = self.now;
        let node = &mut self.runners[index];
        if now < node.frozen_until {
            return;
        }
        let clock = node.clock;
        let Some(runner) = &mut node.runner else {
            return;
        };
        for (arrives_at, registration) in std::mem::take(&mut node.late_registrations) {
            if arrives_at <= now {
                runner.register(registration, clock.read(now));
            } else {
                node.late_registrations.push((arrives_at, registration));
            }
        }
        if node.target.is_up(now) && now >= node.registered_at {
            runner.register(node.target.register(now), clock.read(now));
            node.registered_at = now + 1_500;
        }
        if now >= node.renewal_due_at {
            node.renewal_due_at = now + 15;
            if let Some(order) = runner.plan_renewal(clock.read(now)) {
                let is_lost = self.faults.has_faults && self.rng.random_bool(0.03);
                let answer = node.target.renew(&order, now, is_lost);
                if answer == RenewalAnswer::Unanswered {
                    node.renewal_due_at = now + RENEWAL_TIMEOUT_MS;
                }
                runner.receive_renewal_answer(&order, answer, clock.read(now));
            }
        }
        runner.tick(clock.read(now));
        self.execute_runner_actions(index);
    }

    pub(super) fn execute_runner_actions(&mut self, index: usize) {
        let now = self.now;
        loop {
            let Some(runner) = &mut self.runners[index].runner else {
                return;
            };
            let actions = runner.take_actions();
            if actions.is_empty() {
                return;
            }
            for action in actions {
                match action {
                    RunnerAction::Send(session, message) => {
                        self.send_to_dispatcher(index, session, message);
                    }
                    RunnerAction::CloseSession(session) => self.close_endpoint(session, false),
                    RunnerAction::Start(order) => {
                        let is_delayed = self.faults.has_faults && self.rng.random_bool(0.05);
                        let node = &mut self.runners[index];
                        let answer = node.target.start(&order, now, is_delayed, &mut self.rng);
                        if answer != StartAnswer::Unanswered {
                            let runner = node.runner.as_mut().unwrap();
                            runner.receive_start_answer(&order, answer, node.clock.read(now));
                        }
                    }
                    RunnerAction::Stop(order) => {
                        let is_delayed = self.faults.has_faults && self.rng.random_bool(0.05);
                        self.runners[index]
                            .target
                            .stop(&order, now, is_delayed, &mut self.rng);
                    }
                    RunnerAction::RenewNow => self.runners[index].renewal_due_at = now,
                    RunnerAction::RecordEnd(end) => self.record_end(index, end),
                    RunnerAction::ReportIncarnation { .. } => {}
                }
            }
        }
    }

    pub(super) fn step_dispatcher(&mut self, index: usize) {
        if self.now < self.dispatchers[index].frozen_until {
            return;
        }
        self.expire_kept_leases(index);
        let node = &mut self.dispatchers[index];
        if let Some(dispatcher) = &mut node.dispatcher {
            dispatcher.tick(node.clock.read(self.now));
        }
        self.execute_dispatcher_actions(index);
    }

    pub(super) fn execute_dispatcher_actions(&mut self, index: usize) {
        let Some(dispatcher) = &mut self.dispatchers[index].dispatcher else {
            return;
        };
        for action in dispatcher.take_actions() {
            match action {
                DispatcherAction::Send(session, message) => {
                    let arrives_at = self.now + self.rng.random_range(1..12);
                    let mut links = self.links.iter_mut();
                    let link = links.find(|(key, link)| key.0 == index && link.id == session);
                    if let Some((_, link)) = link {
                        let last = link.to_runner.back().map_or(0, |(at, _)| *at);
                        link.to_runner.push_back((arrives_at.max(last), message));
                    }
                }
                DispatcherAction::CloseSession(session) => self.close_endpoint(session, true),
                DispatcherAction::Report(_) => {}
                DispatcherAction::ObserveEnd {
                    job,
                    task,
                    run,
                    outcome,
                } => self.observe_end(index, job, task, run, outcome),
                DispatcherAction::ReleaseJob(number) => self.release_kept_job(index, number),
                DispatcherAction::Answer(number, answer) => {
                    self.receive_answer(index, number, answer);
                }
            }
        }
    }
}

pub(super) fn new_dispatcher(faults: WorldFaults, seed: u64) -> Dispatcher {
    Dispatcher::new(faults.timings(), HealthLimits::default(), seed)
}
