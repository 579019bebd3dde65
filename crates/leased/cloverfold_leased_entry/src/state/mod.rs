//! The state of an entry: the dispatcher, what surrounds it, and the callers that wait.
//!
//! Translates between the outside (requests, links, time) and the dispatcher, which takes every decision. Owns the open jobs, the channels
//! on which callers wait, and the entry's view of its peers. Relies on `cloverfold_lease` for the dispatcher and on being locked by one
//! task at a time.

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
    configuration_timeout, is_request_outdated,
};
use cloverfold_leased_process::{LeasedState, StallMonitor, SuspensionMonitor};
use cloverfold_link::LinkEvent;
use cloverfold_peer::{ControlLinks, Hello, KnownEvacuations, PeerLinks, PeerMessage, SentCounts};
use tokio::sync::{oneshot, watch};

use crate::configuration::{ConfigurationInForce, FetchLimiter};
use crate::driven_jobs::DrivenJobs;
use crate::event_log::log_event;
use crate::known_guards::KnownGuards;
use crate::protocol::JobProtocol;
use crate::run_numbers::first_run_number;
pub(crate) use kept::GroupAnswer;

/// The state of an entry.
pub(crate) struct EntryState {
    clock: ProcessClock,
    suspensions: SuspensionMonitor,
    stalls: StallMonitor,
    own: Hello,
    protocol: Arc<dyn JobProtocol>,
    dispatcher: Dispatcher,
    configuration: ConfigurationInForce,
    fetches: FetchLimiter,
    evacuations: KnownEvacuations,
    links: PeerLinks,
    controls: ControlLinks,
    guards: KnownGuards,
    /// Where the callers of open jobs wait for their answers.
    answers: HashMap<JobNumber, oneshot::Sender<JobAnswer>>,
    /// Calls to groups, and which kept jobs this entry drives.
    driver: Driver,
    driven: DrivenJobs,
    /// Where callers wait for the answers of groups.
    group_callers: HashMap<CallToken, oneshot::Sender<CallAnswer>>,
    /// Whether there is a configuration in force, for those who wait for the first.
    is_configured: watch::Sender<bool>,
    /// When the last tick was; a long gap is a stall.
    ticked_at: Timestamp,
    is_draining: bool,
    was_ready: bool,
}

impl LeasedState for EntryState {
    fn on_start(&mut self) {
        self.controls.dial();
    }

    fn on_link_event(&mut self, event: LinkEvent<PeerMessage>) {
        let now = self.look_at_clock();
        self.check_driver_leases(now);
        self.handle_link_event(event);
        self.advance();
    }

    fn tick(&mut self) {
        // Logged and counted here; what follows from it, follows from the gap in time.
        self.suspensions.poll();
        let now = self.look_at_clock();
        self.ticked_at = now;
        self.check_driver_leases(now);
        self.dispatcher.tick(now);
        self.tick_driver(now);
        self.invite_guards(now);
        self.advance();
        self.log_readiness();
    }
}

impl EntryState {
    pub(crate) fn new(
        own: Hello,
        protocol: Arc<dyn JobProtocol>,
        dispatcher: Dispatcher,
        controls: ControlLinks,
    ) -> Self {
        let driver = Driver::new(&own.name, KeptJobTimings::default(), random_u64());
        Self {
            clock: ProcessClock::default(),
            suspensions: SuspensionMonitor::default(),
            stalls: StallMonitor::default(),
            own,
            protocol,
            dispatcher,
            configuration: ConfigurationInForce::default(),
            fetches: FetchLimiter::default(),
            evacuations: KnownEvacuations::default(),
            links: PeerLinks::default(),
            controls,
            guards: KnownGuards::default(),
            answers: HashMap::new(),
            driver,
            driven: DrivenJobs::default(),
            group_callers: HashMap::new(),
            is_configured: watch::Sender::new(false),
            ticked_at: Timestamp::ZERO,
            is_draining: false,
            was_ready: false,
        }
    }

    /// Replaces the seeds; links to control processes that are still wanted stay open.
    pub(crate) fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.controls.set_seeds(seeds);
    }

    pub(crate) fn configuration(&self) -> Option<Arc<Configuration>> {
        self.configuration.decoded()
    }

    /// Returns how long a request that comes now waits for the first configuration, and what tells of that; `None` if it does not wait.
    pub(crate) fn await_configuration(&self) -> Option<(Duration, watch::Receiver<bool>)> {
        let wait = configuration_timeout(self.clock.now())?;
        Some((wait, self.is_configured.subscribe()))
    }

    /// Returns the version of the configuration in force; 0 before the first.
    pub(crate) fn version(&self) -> Version {
        self.configuration.version()
    }

    /// Returns the evacuated data halls as this entry knows them.
    pub(crate) fn evacuated_halls(&self) -> &EvacuatedHalls {
        self.evacuations.halls()
    }

    pub(crate) fn counts(&self) -> DispatcherCounts {
        self.dispatcher.counts()
    }

    /// Returns what was sent to other processes since the start.
    pub(crate) fn sent(&self) -> &SentCounts {
        self.links.sent()
    }

    /// Returns the suspensions of the box that were noticed.
    pub(crate) fn suspensions(&self) -> &SuspensionMonitor {
        &self.suspensions
    }

    /// Returns the present point in time, after the dispatcher has heard of a stall of this process.
    fn look_at_clock(&mut self) -> Timestamp {
        let now = self.clock.now();
        if let Some(stall) = self.stalls.poll(now) {
            self.dispatcher.allow_for_stall(stall, now);
        }
        now
    }

    /// Returns the present point in time.
    pub(crate) fn now(&self) -> Timestamp {
        self.clock.now()
    }

    pub(crate) fn ready_targets(&self) -> usize {
        self.dispatcher.count_ready_targets(self.clock.now())
    }

    /// Returns how many jobs have no answer yet.
    pub(crate) fn open_jobs(&self) -> usize {
        self.dispatcher.count_open_jobs()
    }

    /// Returns whether a job of this name has no answer yet.
    pub(crate) fn is_open(&self, id: &str) -> bool {
        self.dispatcher.is_open(id)
    }

    /// Counts the jobs that match and of which nothing has started.
    pub(crate) fn count_queued(&self, matches: impl Fn(&JobRequest) -> bool) -> usize {
        self.dispatcher.count_queued(matches)
    }

    /// Returns why this entry should get no new connections; `None` if it is ready.
    pub(crate) fn find_unreadiness(&self) -> Option<&'static str> {
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

    /// Begins the planned stop: the entry is no longer ready and invites no guards. Jobs are still accepted.
    pub(crate) fn begin_draining(&mut self) {
        self.is_draining = true;
    }

    /// Accepts no further job; open ones are still answered, and kept ones of which nothing runs are handed on.
    pub(crate) fn stop_accepting_jobs(&mut self) {
        self.dispatcher.begin_draining();
        self.hand_on_idle_jobs();
    }

    /// Submits a job; its one answer comes through the channel. A request that may have waited through a long stall is refused and has no
    /// number.
    pub(crate) fn submit(
        &mut self,
        request: JobRequest,
    ) -> (Option<JobNumber>, oneshot::Receiver<JobAnswer>) {
        let (tx, rx) = oneshot::channel();
        let now = self.look_at_clock();
        if is_request_outdated(self.ticked_at, now) {
            let gap = now.saturating_duration_since(self.ticked_at);
            log::warn!(job = request.id.as_str(), gap_ms = gap.as_millis() as u64; "a job is refused after a stall");
            refuse_stalled(tx);
            return (None, rx);
        }
        self.check_driver_leases(now);
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

    /// Cancels a job by its name; returns whether it was open.
    pub(crate) fn cancel_named(&mut self, id: &str) -> bool {
        let was_open = self.dispatcher.cancel_named(id);
        self.advance();
        was_open
    }

    /// Carries out the actions that the dispatcher and the driver have decided on.
    fn advance(&mut self) {
        loop {
            let actions = self.dispatcher.take_actions();
            let has_any = !actions.is_empty();
            for action in actions {
                self.carry_out(action);
            }
            if !self.carry_out_driver() && !has_any {
                return;
            }
        }
    }

    /// Carries out one action of the dispatcher.
    fn carry_out(&mut self, action: DispatcherAction) {
        match action {
            DispatcherAction::Send(session, message) => {
                // Lost if the link has closed, which ends its session as well, or if its queue is full, which is logged.
                self.links.send(session, &PeerMessage::ToRunner(message));
            }
            DispatcherAction::CloseSession(session) => {
                log::warn!(link = session; "a guard is silent; its link is closed");
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
            DispatcherAction::HandBack(number) => self.hand_back(number),
        }
    }

    /// Passes an answer to the caller that waits for it; a kept job has none, and its end is recorded.
    fn answer(&mut self, number: JobNumber, answer: JobAnswer) {
        if self.finish_kept(number, answer) {
            return;
        }
        if let Some(caller) = self.answers.remove(&number) {
            // Harmless: a caller that has disconnected needs no answer.
            let _ = caller.send(answer);
        }
    }

    /// Logs a change of readiness, with the reason why the entry is not ready.
    fn log_readiness(&mut self) {
        let unreadiness = self.find_unreadiness();
        let is_ready = unreadiness.is_none();
        if is_ready != self.was_ready {
            self.was_ready = is_ready;
            // An entry that is ready has no reason not to be: the key is empty then.
            let reason = unreadiness.unwrap_or_default();
            log::info!(ready = is_ready, reason, version = self.version(); "readiness has changed");
        }
    }
}

/// Answers a job that the dispatcher never sees.
fn refuse_stalled(caller: oneshot::Sender<JobAnswer>) {
    let answer = JobAnswer::refused(JobRefusal::Stalled);
    // Can't fail: the receiver is returned to the caller afterwards.
    let _ = caller.send(answer);
}
