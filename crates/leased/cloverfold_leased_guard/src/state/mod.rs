//! The state of a guard: the runner and what surrounds it.
//!
//! Translates between the outside (the target, links, time) and the runner, which takes every decision. Owns the runs and the guard's view
//! of its target and peers. Relies on `cloverfold_lease` for the runner and on being locked by one task at a time.

mod links;

use std::net::SocketAddr;
use std::sync::Arc;

use cloverfold_base::{ProcessClock, Timestamp};
use cloverfold_evacuation::EvacuatedHalls;
use cloverfold_kept_jobs::{Recorder, RecorderAction};
use cloverfold_lease::{
    IncarnationId, ProcessorUse, RenewalAnswer, RenewalOrder, RenewalPause, Runner, RunnerAction,
    RunnerCounts, RunnerMessage, SessionId, StartAnswer, StartOrder, UnavailableReason, UsualSpeed,
};
use cloverfold_leased_process::{LeasedState, StallMonitor, SuspensionMonitor};
use cloverfold_link::LinkEvent;
use cloverfold_peer::{
    ChosenEntries, ControlLinks, DialedPeers, Hello, KnownEvacuations, LinkDrains, PeerLinks,
    PeerMessage, SentCounts, send_group_call,
};
use tokio::sync::{Notify, mpsc};

use crate::configuration::ConfigurationCopy;
use crate::event_log::{
    log_decision, log_departure, log_end, log_incarnation, log_registration,
    log_unacknowledged_start,
};
use crate::interface::RegistrationCall;
use crate::target_orders::TargetOrder;

/// The state of a guard.
pub(crate) struct GuardState {
    clock: ProcessClock,
    suspensions: SuspensionMonitor,
    stalls: StallMonitor,
    own: Hello,
    runner: Runner,
    configuration: ConfigurationCopy,
    evacuations: KnownEvacuations,
    links: PeerLinks,
    controls: ControlLinks,
    entries: DialedPeers,
    chosen: ChosenEntries,
    departures: LinkDrains,
    recorder: Recorder,
    orders: mpsc::UnboundedSender<TargetOrder>,
    /// Notified when the lease is to be renewed without waiting.
    renew_now: Arc<Notify>,
    /// The service of the target, as control processes were told last.
    told_service: Option<String>,
    /// The incarnation of the target that control processes were told last: they hold it by its name before its upkeep.
    told_incarnation: Option<IncarnationId>,
    /// Registrations that could not be read.
    unreadable_registrations: u64,
    /// Why the target accepts no work, as logged last.
    logged_reason: Option<UnavailableReason>,
}

impl LeasedState for GuardState {
    fn on_start(&mut self) {
        self.controls.dial();
    }

    fn on_link_event(&mut self, event: LinkEvent<PeerMessage>) {
        self.handle_link_event(event);
        self.advance();
    }

    fn tick(&mut self) {
        let now = self.now();
        self.runner.tick(now);
        self.recorder.tick(now);
        if let Some(link) = self.configuration.take_due_fetch(now) {
            let known = self.configuration.version();
            self.links.fetch_configuration(link, known);
        }
        self.leave_unnamed_entries(now);
        self.advance();
    }
}

impl GuardState {
    pub(crate) fn new(
        own: Hello,
        runner: Runner,
        controls: ControlLinks,
        entries: DialedPeers,
        orders: mpsc::UnboundedSender<TargetOrder>,
        renew_now: Arc<Notify>,
    ) -> Self {
        Self {
            clock: ProcessClock::default(),
            suspensions: SuspensionMonitor::default(),
            stalls: StallMonitor::default(),
            own,
            runner,
            configuration: ConfigurationCopy::default(),
            evacuations: KnownEvacuations::default(),
            links: PeerLinks::default(),
            controls,
            entries,
            chosen: ChosenEntries::default(),
            departures: LinkDrains::default(),
            recorder: Recorder::default(),
            orders,
            renew_now,
            told_service: None,
            told_incarnation: None,
            unreadable_registrations: 0,
            logged_reason: Some(UnavailableReason::NoTarget),
        }
    }

    /// Replaces the seeds; links to control processes that are still wanted stay open.
    pub(crate) fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.controls.set_seeds(seeds);
    }

    pub(crate) fn counts(&self) -> RunnerCounts {
        self.runner.counts()
    }

    /// Returns what was sent to other processes since the start.
    pub(crate) fn sent(&self) -> &SentCounts {
        self.links.sent()
    }

    /// Returns the suspensions of the box that were noticed.
    pub(crate) fn suspensions(&self) -> &SuspensionMonitor {
        &self.suspensions
    }

    /// Returns the present point in time, after the runner has heard of a suspension of the box, in which its target may have been
    /// suspended too, or else of a stall of this process.
    fn now(&mut self) -> Timestamp {
        let suspension = self.suspensions.poll();
        let now = self.clock.now();
        let stall = self.stalls.poll(now);
        if let Some(span) = suspension {
            self.runner.allow_for_suspension(span);
        } else if let Some(stall) = stall {
            self.runner.allow_for_stall(stall, now);
        }
        now
    }

    /// Returns how many runs the guard has, also those that wait to be started.
    pub(crate) fn run_count(&self) -> usize {
        self.runner.run_count()
    }

    /// Returns whether no run is left and every end of a kept one is recorded.
    pub(crate) fn is_drained(&self) -> bool {
        self.run_count() == 0 && self.unrecorded_end_count() == 0
    }

    /// Returns how many ends the target must not forget yet.
    pub(crate) fn held_end_count(&self) -> usize {
        self.runner.held_end_count()
    }

    /// Returns how many ends of kept runs their groups have not decided on.
    pub(crate) fn unrecorded_end_count(&self) -> usize {
        self.recorder.waiting_count()
    }

    /// Returns how many ends gave way to newer ones without a decision.
    pub(crate) fn dropped_end_count(&self) -> u64 {
        self.recorder.dropped_count()
    }

    /// Returns how the target's processors are used at present.
    pub(crate) fn processor_use(&self) -> ProcessorUse {
        self.runner.processor_use()
    }

    /// Returns how fast the target usually is.
    pub(crate) fn usual_speed(&self) -> UsualSpeed {
        self.runner.usual_speed()
    }

    /// Returns the evacuated data halls as this guard knows them.
    pub(crate) fn evacuated_halls(&self) -> &EvacuatedHalls {
        self.evacuations.halls()
    }

    pub(crate) fn has_ready_target(&self) -> bool {
        self.runner.has_ready_target()
    }

    /// Begins the planned stop: no further run is accepted, and those that it already has may finish.
    pub(crate) fn begin_draining(&mut self) {
        let now = self.now();
        self.runner.begin_draining(now);
        self.advance();
    }

    /// Handles a call of the target; it is acknowledged afterwards.
    pub(crate) fn receive_registration(&mut self, call: RegistrationCall) {
        let now = self.now();
        match call {
            RegistrationCall::Register(registration) => {
                let verdict = self.runner.register(registration.clone(), now);
                log_registration(&registration, verdict);
            }
            RegistrationCall::Deregister { incarnation } => {
                let is_taken = self.runner.unregister(&incarnation, now);
                log_departure(&incarnation, is_taken);
            }
        }
        self.advance();
    }

    /// Counts a registration that another writer has sent, or that is broken: it changes nothing.
    pub(crate) fn count_unreadable_registration(&mut self) {
        self.unreadable_registrations += 1;
    }

    /// Returns how many registrations could not be read.
    pub(crate) fn unreadable_registration_count(&self) -> u64 {
        self.unreadable_registrations
    }

    /// Returns the next renewal; `None` while there is no target to renew the lease of.
    pub(crate) fn plan_renewal(&mut self) -> Option<RenewalOrder> {
        let now = self.now();
        self.runner.plan_renewal(now)
    }

    /// Handles the answer to a renewal that [`Self::plan_renewal`] planned; returns how long to wait before the next one.
    pub(crate) fn receive_renewal_answer(
        &mut self,
        order: &RenewalOrder,
        answer: RenewalAnswer,
    ) -> RenewalPause {
        let now = self.now();
        let pause = self.runner.receive_renewal_answer(order, answer, now);
        self.advance();
        pause
    }

    /// Handles the answer to a start, which is logged if the target did not acknowledge it.
    pub(crate) fn receive_start_answer(&mut self, order: &StartOrder, answer: StartAnswer) {
        let now = self.now();
        log_unacknowledged_start(order, &answer);
        self.runner.receive_start_answer(order, answer, now);
        self.advance();
    }

    /// Carries out the actions that the runner and the recorder have decided on.
    fn advance(&mut self) {
        loop {
            let actions = self.runner.take_actions();
            let recorded = self.recorder.take_actions();
            if actions.is_empty() && recorded.is_empty() {
                break;
            }
            for action in actions {
                self.carry_out(action);
            }
            for action in recorded {
                self.carry_out_recording(action);
            }
        }
        self.tell_new_target();
        self.log_readiness();
    }

    /// Carries out one action of the recorder.
    fn carry_out_recording(&mut self, action: RecorderAction) {
        match action {
            RecorderAction::Send(route, call) => {
                // Repeated until the group has decided.
                send_group_call(&self.links, &route, call);
            }
            RecorderAction::Decided(end, decision) => {
                log_decision(&end, decision);
                let now = self.now();
                self.runner.receive_end_decision(&end, decision, now);
            }
        }
    }

    /// Carries out one action of the runner.
    fn carry_out(&mut self, action: RunnerAction) {
        match action {
            RunnerAction::Send(session, message) => {
                if !self.can_read(session, &message) {
                    return;
                }
                log_end(&message);
                // Lost if the link has closed, which ends its session as well, or if its queue is full, which is logged.
                let message = self.make_readable(session, message);
                self.links
                    .send(session, &PeerMessage::ToDispatcher(message));
            }
            RunnerAction::CloseSession(session) => {
                log::warn!(link = session; "an entry is silent; its runs are stopped");
                self.close_link(session);
            }
            RunnerAction::Start(order) => self.order(TargetOrder::Start(order)),
            RunnerAction::Stop(order) => self.order(TargetOrder::Stop(order)),
            RunnerAction::RecordEnd(end) => {
                let now = self.now();
                self.recorder.record(end, now);
            }
            RunnerAction::RenewNow => self.renew_now.notify_one(),
            RunnerAction::ReportIncarnation {
                incarnation,
                is_alive,
            } => log_incarnation(&incarnation, is_alive),
        }
    }

    /// Returns whether the entry at the other end can read a message; a usual speed is a hint that an older build does without.
    fn can_read(&self, session: SessionId, message: &RunnerMessage) -> bool {
        let is_hint = matches!(message, RunnerMessage::UsualSpeed(_));
        let entry = self.links.hello(session);
        !is_hint || entry.is_some_and(Hello::supports_kept_jobs)
    }

    /// Returns a message as the entry at the other end can read it: a build that does not know of evacuations is told that the target
    /// drains, which it handles alike.
    fn make_readable(&self, session: SessionId, message: RunnerMessage) -> RunnerMessage {
        let entry = self.links.hello(session);
        if entry.is_some_and(Hello::supports_evacuations) {
            return message;
        }
        message.without_evacuated()
    }

    /// Queues an order to the target.
    fn order(&self, order: TargetOrder) {
        // Can't fail: the receiver lives as long as the process.
        let _ = self.orders.send(order);
    }

    /// Logs a change of why the target accepts no work.
    fn log_readiness(&mut self) {
        let unready = self.runner.find_unavailable_reason();
        if unready == self.logged_reason {
            return;
        }
        self.logged_reason = unready;
        // A target that accepts work has no reason not to: the key is empty then.
        let reason = unready.map(UnavailableReason::as_str).unwrap_or_default();
        log::info!(
            ready = unready.is_none(), reason, stuck_runs = self.runner.counts().stuck,
            held_runs = self.runner.run_count();
            "the target's readiness has changed"
        );
    }
}
