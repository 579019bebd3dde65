//! The state of an entry: its jobs, the callers that wait for them, and its peers.
//!
//! Translates between I/O (requests, links, time) and the dispatcher, which makes all decisions. One task at a time locks the state.

mod kept;
mod links;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cloverfold_base::{ProcessClock, Timestamp, random_u64, unix_now};
use cloverfold_configuration::{Configuration, Version};
use cloverfold_evacuation::EvacuatedHalls;
use cloverfold_kept_jobs::{CallAnswer, CallToken, Driver, KeptJobTimings};
use cloverfold_lease::{
    Dispatcher, DispatcherAction, DispatcherCounts, JobAnswer, JobNumber, JobRefusal, JobRequest,
    WaitingJobs, configuration_timeout, is_request_outdated,
};
use cloverfold_leased_process::{ProcessState, StallMonitor, SuspensionMonitor};
use cloverfold_link::LinkEvent;
use cloverfold_peer::{ControlLinks, Hello, KnownEvacuations, PeerLinks, PeerMessage, SentCounts};
use tokio::sync::{oneshot, watch};

use crate::configuration::{ConfigurationInForce, FetchLimiter};
use crate::driven_jobs::DrivenJobs;
use crate::event_log::log_event;
use crate::guard_invitations::GuardInvitations;
use crate::protocol::{JobProtocol, JobState};
use crate::requested_targets::RequestedTargets;
use crate::run_numbers::first_run_number;
pub(crate) use kept::GroupAnswer;

pub(crate) struct EntryState {
    clock: ProcessClock,
    suspensions: SuspensionMonitor,
    stalls: StallMonitor,
    own_hello: Hello,
    protocol: Arc<dyn JobProtocol>,
    dispatcher: Dispatcher,
    configuration: ConfigurationInForce,
    fetches: FetchLimiter,
    evacuations: KnownEvacuations,
    links: PeerLinks,
    controls: ControlLinks,
    guards: GuardInvitations,
    requested_targets: RequestedTargets,
    /// Channels for the answers to open jobs.
    answers: HashMap<JobNumber, oneshot::Sender<JobAnswer>>,
    /// Calls to groups, and the kept jobs that this entry drives.
    driver: Driver,
    driven: DrivenJobs,
    /// Channels for the replies of groups.
    group_replies: HashMap<CallToken, oneshot::Sender<CallAnswer>>,
    /// Whether a configuration is in force; requests wait on it for the first one.
    is_configured: watch::Sender<bool>,
    /// Time of the last tick; a long gap means that the process was stalled.
    ticked_at: Timestamp,
    is_draining: bool,
    was_ready: bool,
}

impl ProcessState for EntryState {
    fn on_start(&mut self) {
        self.controls.dial();
    }

    fn on_link_event(&mut self, event: LinkEvent<PeerMessage>) {
        let now = self.read_clock();
        self.expire_driver_leases(now);
        self.handle_link_event(event);
        self.advance();
    }

    fn tick(&mut self) {
        // Logs and counts a suspension; `read_clock` reports the gap in time to the dispatcher.
        self.suspensions.poll();
        let now = self.read_clock();
        self.ticked_at = now;
        self.expire_driver_leases(now);
        self.dispatcher.tick(now);
        self.tick_driver(now);
        self.invite_guards(now);
        let needs = self.dispatcher.requested_targets();
        self.requested_targets.send(needs, &self.links);
        self.advance();
        self.log_readiness();
    }
}

impl EntryState {
    pub(crate) fn new(
        own_hello: Hello,
        protocol: Arc<dyn JobProtocol>,
        dispatcher: Dispatcher,
        controls: ControlLinks,
    ) -> Self {
        let driver = Driver::new(&own_hello.name, KeptJobTimings::default(), random_u64());
        Self {
            clock: ProcessClock::default(),
            suspensions: SuspensionMonitor::default(),
            stalls: StallMonitor::default(),
            own_hello,
            protocol,
            dispatcher,
            configuration: ConfigurationInForce::default(),
            fetches: FetchLimiter::default(),
            evacuations: KnownEvacuations::default(),
            links: PeerLinks::default(),
            controls,
            guards: GuardInvitations::default(),
            requested_targets: RequestedTargets::default(),
            answers: HashMap::new(),
            driver,
            driven: DrivenJobs::default(),
            group_replies: HashMap::new(),
            is_configured: watch::Sender::new(false),
            ticked_at: Timestamp::ZERO,
            is_draining: false,
            was_ready: false,
        }
    }

    /// Replaces the seeds; links to control processes that remain selected stay open.
    pub(crate) fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.controls.set_seeds(seeds);
    }

    pub(crate) fn configuration(&self) -> Option<Arc<Configuration>> {
        self.configuration.decoded()
    }

    /// Returns how long a request that arrives now waits for the first configuration, and the channel that reports it; `None` if the
    /// request does not wait.
    pub(crate) fn subscribe_configuration(&self) -> Option<(Duration, watch::Receiver<bool>)> {
        let wait = configuration_timeout(self.clock.now())?;
        Some((wait, self.is_configured.subscribe()))
    }

    /// Returns the version of the configuration in force; 0 if there is none.
    pub(crate) fn version(&self) -> Version {
        self.configuration.version()
    }

    /// Returns the evacuated data halls known to this entry.
    pub(crate) fn evacuated_halls(&self) -> &EvacuatedHalls {
        self.evacuations.halls()
    }

    pub(crate) fn counts(&self) -> DispatcherCounts {
        self.dispatcher.counts()
    }

    /// Returns the jobs that wait for a target, by cause.
    pub(crate) fn waiting_jobs(&self) -> WaitingJobs {
        self.dispatcher.waiting_jobs()
    }

    /// Returns the counters of messages sent to peers since the start.
    pub(crate) fn sent(&self) -> &SentCounts {
        self.links.sent()
    }

    /// Returns the monitor of box suspensions.
    pub(crate) fn suspensions(&self) -> &SuspensionMonitor {
        &self.suspensions
    }

    /// Returns the current time, after reporting a stall of this process to the dispatcher.
    fn read_clock(&mut self) -> Timestamp {
        let now = self.clock.now();
        if let Some(stall) = self.stalls.poll(now) {
            self.dispatcher.allow_for_stall(stall, now);
        }
        now
    }

    pub(crate) fn now(&self) -> Timestamp {
        self.clock.now()
    }

    pub(crate) fn ready_targets(&self) -> usize {
        self.dispatcher.count_ready_targets(self.clock.now())
    }

    /// Returns the number of jobs without an answer.
    pub(crate) fn open_jobs(&self) -> usize {
        self.dispatcher.count_open_jobs()
    }

    /// Returns the state of the repeatable job with this ID that has no answer yet; `None` if there is none here.
    pub(crate) fn open_job_state(&self, id: &str) -> Option<JobState> {
        let has_begun = self.dispatcher.has_named_begun(id)?;
        Some(if has_begun {
            JobState::Running
        } else {
            JobState::Queued
        })
    }

    /// Returns the number of matching jobs that have not started.
    pub(crate) fn count_queued(&self, matches: impl Fn(&JobRequest) -> bool) -> usize {
        self.dispatcher.count_queued(matches)
    }

    /// Returns why this entry is not ready for new connections; `None` if it is.
    pub(crate) fn not_ready_reason(&self) -> Option<&'static str> {
        if self.is_draining {
            Some("the entry is stopping")
        } else if self.version() == 0 {
            Some("no configuration is in force")
        } else if self.ready_targets() == 0 {
            Some("no target is in touch")
        } else {
            None
        }
    }

    /// Starts a graceful shutdown: the entry is no longer ready and invites no guards, but still accepts jobs.
    pub(crate) fn begin_draining(&mut self) {
        self.is_draining = true;
    }

    /// Stops accepting jobs and releases kept jobs without runs; open jobs are still answered.
    pub(crate) fn stop_accepting_jobs(&mut self) {
        self.dispatcher.begin_draining();
        self.release_idle_jobs();
    }

    /// Submits a job; its answer comes through the channel. Refuses a request that may have waited during a long stall; it gets no number.
    pub(crate) fn submit(
        &mut self,
        request: JobRequest,
    ) -> (Option<JobNumber>, oneshot::Receiver<JobAnswer>) {
        let (tx, rx) = oneshot::channel();
        let now = self.read_clock();
        if is_request_outdated(self.ticked_at, now) {
            let gap = now.saturating_duration_since(self.ticked_at);
            log::warn!(job = request.id.as_str(), gap_ms = gap.as_millis() as u64; "job refused after a stall");
            refuse_stalled(tx);
            return (None, rx);
        }
        self.expire_driver_leases(now);
        let first_run = first_run_number(unix_now());
        self.dispatcher.raise_first_run(first_run);
        let number = self.dispatcher.submit(request, now);
        self.answers.insert(number, tx);
        self.advance();
        (Some(number), rx)
    }

    /// Cancels a job whose caller has disconnected.
    pub(crate) fn cancel(&mut self, number: JobNumber) {
        if self.answers.remove(&number).is_some() {
            self.dispatcher.cancel(number);
            self.advance();
        }
    }

    /// Cancels a job by its ID; returns whether it was open.
    pub(crate) fn cancel_named(&mut self, id: &str) -> bool {
        let was_open = self.dispatcher.cancel_named(id);
        self.advance();
        was_open
    }

    /// Executes the pending actions of the dispatcher and the driver.
    fn advance(&mut self) {
        loop {
            let actions = self.dispatcher.take_actions();
            let has_any = !actions.is_empty();
            for action in actions {
                self.execute(action);
            }
            if !self.execute_driver_actions() && !has_any {
                return;
            }
        }
    }

    /// Executes one action of the dispatcher.
    fn execute(&mut self, action: DispatcherAction) {
        match action {
            DispatcherAction::Send(session, message) => {
                // The message is lost if the link has closed, which also ends its session, or if its queue is full, which is logged.
                self.links.send(session, &PeerMessage::ToRunner(message));
            }
            DispatcherAction::CloseSession(session) => {
                log::warn!(link = session; "guard session timed out; closing its link");
                self.close_link(session);
            }
            DispatcherAction::Report(event) => log_event(&event, self.version()),
            DispatcherAction::Answer(number, answer) => self.answer(number, answer),
            DispatcherAction::ObserveEnd {
                job,
                task,
                run,
                outcome,
            } => self.observe_end(job, task, run, outcome),
            DispatcherAction::ReleaseJob(number) => self.release_job(number),
        }
    }

    /// Sends an answer to the caller that waits for it. A kept job has no waiting caller; its end is recorded instead.
    fn answer(&mut self, number: JobNumber, answer: JobAnswer) {
        if self.finish_kept(number, answer) {
            return;
        }
        if let Some(caller) = self.answers.remove(&number) {
            // Fails if the caller has disconnected, which is harmless.
            let _ = caller.send(answer);
        }
    }

    /// Logs a change of readiness, with the reason if the entry is not ready.
    fn log_readiness(&mut self) {
        let not_ready_reason = self.not_ready_reason();
        let is_ready = not_ready_reason.is_none();
        if is_ready != self.was_ready {
            self.was_ready = is_ready;
            // The key is empty if the entry is ready.
            let reason = not_ready_reason.unwrap_or_default();
            log::info!(ready = is_ready, reason, version = self.version(); "readiness changed");
        }
    }
}

/// Refuses a job after a stall, before it reaches the dispatcher.
fn refuse_stalled(caller: oneshot::Sender<JobAnswer>) {
    let answer = JobAnswer::refused(JobRefusal::Stalled);
    // Cannot fail: the receiver still exists and is returned to the caller afterwards.
    let _ = caller.send(answer);
}
