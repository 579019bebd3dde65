//! Clients: they submit jobs, time out, and resend unanswered jobs.

use std::time::Duration;

use cloverfold_lease::{
    JobAnswer, JobNumber, JobRequest, LatencyObjective, Resources, StepRequest,
};
use rand::RngExt;

use super::{CLIENT_TIMEOUT_MS, DISPATCHERS, RESEND_MS, World};

/// A client that waits for the answer to a job.
#[derive(Clone)]
pub(super) struct Client {
    pub(super) id: String,
    pub(super) sent_at: u64,
}

impl World {
    pub(super) fn submit_jobs(&mut self) {
        if self.now < self.submissions_until && self.random_bool(0.06) {
            let id = format!("{:016x}", self.next_job);
            self.next_job += 1;
            self.submit(id);
        }
        let (due, later) = self
            .resends
            .iter()
            .cloned()
            .partition(|(at, _)| *at <= self.now);
        self.resends = later;
        for (_, id) in Vec::<(u64, String)>::from_iter(due) {
            self.submit(id);
        }
    }

    /// Sends a job to a dispatcher, which reads it at once or, if frozen, when it continues.
    pub(super) fn submit(&mut self, id: String) {
        let index = self.rng.random_range(0..DISPATCHERS);
        let now = self.now;
        let count = self.rng.random_range(1..=6);
        let work = self.rng.random_range(40..900);
        let node = &mut self.dispatchers[index];
        if node.dispatcher.is_none() {
            return;
        }
        let request = job(&id, count, work);
        node.unread.push((Client { id, sent_at: now }, request));
        if now >= node.frozen_until {
            self.read_requests(index);
        }
    }

    /// Lets a dispatcher read the requests sent to it.
    pub(super) fn read_requests(&mut self, index: usize) {
        let now = self.now;
        let node = &mut self.dispatchers[index];
        let Some(dispatcher) = &mut node.dispatcher else {
            return;
        };
        for (client, request) in std::mem::take(&mut node.unread) {
            dispatcher.raise_first_run(now / 100 + 1);
            let number = dispatcher.submit(request, node.clock.read(now));
            node.clients.insert(number, client);
        }
    }

    /// Times out clients without an answer; they resend their jobs later.
    pub(super) fn time_out_clients(&mut self) {
        for index in 0..DISPATCHERS {
            let now = self.now;
            let node = &mut self.dispatchers[index];
            let is_frozen = now < node.frozen_until;
            let late: Vec<JobNumber> = node
                .clients
                .iter()
                .filter(|(_, client)| now > client.sent_at + CLIENT_TIMEOUT_MS * 4)
                .map(|(number, _)| *number)
                .collect();
            for number in late {
                let client = node.clients.remove(&number).unwrap();
                if let Some(dispatcher) = node.dispatcher.as_mut().filter(|_| !is_frozen) {
                    dispatcher.cancel(number);
                }
                self.resends.push((now + RESEND_MS, client.id));
            }
        }
    }

    pub(super) fn receive_answer(&mut self, index: usize, number: JobNumber, answer: JobAnswer) {
        if self.finish_kept_job(index, number) {
            return;
        }
        let Some(client) = self.dispatchers[index].clients.remove(&number) else {
            return;
        };
        match answer {
            JobAnswer::Completed => {
                self.completed += 1;
                let tasks = self
                    .runners
                    .iter()
                    .map(|node| node.target.count_done(&client.id));
                self.tasks_completed += tasks.sum::<u64>();
            }
            JobAnswer::GivenUp => self.resends.push((self.now + RESEND_MS, client.id)),
            JobAnswer::Failed | JobAnswer::Refused { .. } => {}
        }
    }
}

pub(super) fn job(id: &str, count: u32, work_ms: u64) -> JobRequest {
    JobRequest {
        id: id.into(),
        queue: "queue".into(),
        service: "service".into(),
        spec: work_ms.to_string(),
        steps: vec![StepRequest {
            count,
            demand: Resources {
                cpu_milli: 1_600,
                memory_mb: 64,
                accelerators: 0,
            },
            estimate: Duration::from_millis(work_ms),
            depends_on: Vec::new(),
            required_label: None,
            preferred_label: None,
            max_per_target: None,
        }],
        priority: 0,
        max_attempts: 3,
        objective: LatencyObjective {
            stretch: 1.6,
            allowance: Duration::from_millis(60),
        },
        caller_timeout: Some(Duration::from_millis(CLIENT_TIMEOUT_MS * 4)),
    }
}
