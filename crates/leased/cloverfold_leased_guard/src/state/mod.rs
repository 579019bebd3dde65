//! The state of a guard: its runner, its target and its peers.
//!
//! Translates between I/O (the target, links, time) and the runner, which makes all decisions. One task at a time locks the state.

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
use cloverfold_leased_process::{ProcessState, StallMonitor, SuspensionMonitor};
use cloverfold_link::LinkEvent;
use cloverfold_peer::{
    AssignedEntries, ControlLinks, DialedPeers, Hello, KnownEvacuations, LinkDrains, PeerLinks,
    PeerMessage, SentCounts, send_group_call,
};
use tokio::sync::{Notify, mpsc};

use crate::configuration::ConfigurationCopy;
use crate::event_log::{
    log_deregistration, log_end, log_end_decision, log_incarnation, log_registration,
    log_unacknowledged_start,
};
use crate::interface::RegistrationCall;
use crate::target_orders::TargetOrder;

pub(crate) struct GuardState {
    clock: ProcessClock,
    suspensions: SuspensionMonitor,
    stalls: StallMonitor,
    own_hello: Hello,
    runner: Runner,
    configuration: ConfigurationCopy,
    evacuations: KnownEvacuations,
    links: PeerLinks,
    controls: ControlLinks,
    dialed_entries: DialedPeers,
    assigned_entries: AssignedEntries,
    link_drains: LinkDrains,
    recorder: Recorder,
    orders: mpsc::UnboundedSender<TargetOrder>,
    /// Notified to renew the lease without delay.
    renew_now: Arc<Notify>,
    /// Service of the target in the last announcement to control processes.
    announced_service: Option<String>,
    /// Incarnation of the target in the last announcement to control processes, which use its name to drain it before upkeep.
    announced_incarnation: Option<IncarnationId>,
    /// Number of registrations that could not be parsed.
    unreadable_registrations: u64,
    /// Last logged reason why the target accepts no work.
    logged_reason: Option<UnavailableReason>,
}

impl ProcessState for GuardState {
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
        self.drain_unassigned_entries(now);
        self.advance();
    }
}

impl GuardState {
    pub(crate) fn new(
        own_hello: Hello,
        runner: Runner,
        controls: ControlLinks,
        dialed_entries: DialedPeers,
        orders: mpsc::UnboundedSender<TargetOrder>,
        renew_now: Arc<Notify>,
    ) -> Self {
        Self {
            clock: ProcessClock::default(),
            suspensions: SuspensionMonitor::default(),
            stalls: StallMonitor::default(),
            own_hello,
            runner,
            configuration: ConfigurationCopy::default(),
            evacuations: KnownEvacuations::default(),
            links: PeerLinks::default(),
            controls,
            dialed_entries,
            assigned_entries: AssignedEntries::default(),
            link_drains: LinkDrains::default(),
            recorder: Recorder::default(),
            orders,
            renew_now,
            announced_service: None,
            announced_incarnation: None,
            unreadable_registrations: 0,
            logged_reason: Some(UnavailableReason::NoTarget),
        }
    }

    /// Replaces the seeds; links to control processes that remain selected stay open.
    pub(crate) fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.controls.set_seeds(seeds);
    }

    pub(crate) fn counts(&self) -> RunnerCounts {
        self.runner.counts()
    }

    /// Returns the counters of messages sent to peers since the start.
    pub(crate) fn sent(&self) -> &SentCounts {
        self.links.sent()
    }

    /// Returns the monitor of box suspensions.
    pub(crate) fn suspensions(&self) -> &SuspensionMonitor {
        &self.suspensions
    }

    /// Returns the current time, after reporting to the runner a suspension of the box, which may have suspended the target too, or else a
    /// stall of this process.
    fn now(&mut self) -> Timestamp {
        let suspension = self.suspensions.poll();
        let now = self.clock.now();
        let stall = self.stalls.poll(now);
        if let Some(duration) = suspension {
            self.runner.allow_for_suspension(duration);
        } else if let Some(stall) = stall {
            self.runner.allow_for_stall(stall, now);
        }
        now
    }

    /// Returns the number of runs at this guard, including those that wait for their start.
    pub(crate) fn run_count(&self) -> usize {
        self.runner.run_count()
    }

    /// Returns whether no run is left and the ends of all kept runs are recorded.
    pub(crate) fn is_drained(&self) -> bool {
        self.run_count() == 0 && self.unrecorded_end_count() == 0
    }

    /// Returns the number of run ends that the target must still retain.
    pub(crate) fn held_end_count(&self) -> usize {
        self.runner.held_end_count()
    }

    /// Returns the number of kept runs whose end no group has decided on.
    pub(crate) fn unrecorded_end_count(&self) -> usize {
        self.recorder.waiting_count()
    }

    /// Returns the number of run ends that were dropped without a decision to make room for newer ones.
    pub(crate) fn dropped_end_count(&self) -> u64 {
        self.recorder.dropped_count()
    }

    /// Returns the current use of the target's processors.
    pub(crate) fn processor_use(&self) -> ProcessorUse {
        self.runner.processor_use()
    }

    pub(crate) fn usual_speed(&self) -> UsualSpeed {
        self.runner.usual_speed()
    }

    /// Returns the evacuated data halls known to this guard.
    pub(crate) fn evacuated_halls(&self) -> &EvacuatedHalls {
        self.evacuations.halls()
    }

    pub(crate) fn has_ready_target(&self) -> bool {
        self.runner.has_ready_target()
    }

    /// Starts to drain: the guard accepts no new runs, and current ones may finish.
    pub(crate) fn begin_draining(&mut self) {
        let now = self.now();
        self.runner.begin_draining(now);
        self.advance();
    }

    /// Handles a registration call of the target, before it is acknowledged.
    pub(crate) fn receive_registration(&mut self, call: RegistrationCall) {
        let now = self.now();
        match call {
            RegistrationCall::Register(registration) => {
                let verdict = self.runner.register(registration.clone(), now);
                log_registration(&registration, verdict);
            }
            RegistrationCall::Deregister { incarnation } => {
                let is_accepted = self.runner.unregister(&incarnation, now);
                log_deregistration(&incarnation, is_accepted);
            }
        }
        self.advance();
    }

    /// Counts a registration that cannot be parsed; it has no other effect.
    pub(crate) fn count_unreadable_registration(&mut self) {
        self.unreadable_registrations += 1;
    }

    /// Returns the number of registrations that could not be parsed.
    pub(crate) fn unreadable_registration_count(&self) -> u64 {
        self.unreadable_registrations
    }

    /// Returns the next renewal; `None` while there is no target.
    pub(crate) fn plan_renewal(&mut self) -> Option<RenewalOrder> {
        let now = self.now();
        self.runner.plan_renewal(now)
    }

    /// Handles the answer to a renewal from [`Self::plan_renewal`]; returns how long to wait before the next one.
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

    /// Handles the answer to a start, and logs it if the target did not acknowledge the start.
    pub(crate) fn receive_start_answer(&mut self, order: &StartOrder, answer: StartAnswer) {
        let now = self.now();
        log_unacknowledged_start(order, &answer);
        self.runner.receive_start_answer(order, answer, now);
        self.advance();
    }

    /// Executes the pending actions of the runner and the recorder.
    fn advance(&mut self) {
        loop {
            let actions = self.runner.take_actions();
            let recorder_actions = self.recorder.take_actions();
            if actions.is_empty() && recorder_actions.is_empty() {
                break;
            }
            for action in actions {
                self.execute(action);
            }
            for action in recorder_actions {
                self.execute_recorder_action(action);
            }
        }
        self.announce_target_change();
        self.log_readiness();
    }

    /// Executes one action of the recorder.
    fn execute_recorder_action(&mut self, action: RecorderAction) {
        match action {
            RecorderAction::Send(route, call) => {
                // The result is ignored: the recorder resends the call until the group has decided.
                send_group_call(&self.links, &route, call);
            }
            RecorderAction::Decided(end, decision) => {
                log_end_decision(&end, decision);
                let now = self.now();
                self.runner.receive_end_decision(&end, decision, now);
            }
        }
    }

    /// Executes one action of the runner.
    fn execute(&mut self, action: RunnerAction) {
        match action {
            RunnerAction::Send(session, message) => {
                if !self.is_supported(session, &message) {
                    return;
                }
                log_end(&message);
                // The message is lost if the link has closed, which also ends its session, or if its queue is full, which is logged.
                let message = self.adapt_to_build(session, message);
                self.links
                    .send(session, &PeerMessage::ToDispatcher(message));
            }
            RunnerAction::CloseSession(session) => {
                log::warn!(link = session; "entry session timed out; stopping its runs");
                self.close_link(session);
            }
            RunnerAction::Start(order) => self.queue_order(TargetOrder::Start(order)),
            RunnerAction::Stop(order) => self.queue_order(TargetOrder::Stop(order)),
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

    /// Returns whether the entry supports a message. Older builds do without the target speed, which is a hint, and the reports of starts.
    fn is_supported(&self, session: SessionId, message: &RunnerMessage) -> bool {
        let entry = self.links.hello(session);
        match message {
            RunnerMessage::UsualSpeed(_) => entry.is_some_and(Hello::supports_kept_jobs),
            RunnerMessage::Started(_) => entry.is_some_and(Hello::supports_start_reports),
            _ => true,
        }
    }

    /// Returns a message in a form that the entry supports: for a build without support for evacuations the target is draining instead of
    /// evacuated, which has the same effect there.
    fn adapt_to_build(&self, session: SessionId, message: RunnerMessage) -> RunnerMessage {
        let entry = self.links.hello(session);
        if entry.is_some_and(Hello::supports_evacuations) {
            return message;
        }
        message.without_evacuated()
    }

    /// Queues an order for the target.
    fn queue_order(&self, order: TargetOrder) {
        // Cannot fail: the receiver lives as long as the process.
        let _ = self.orders.send(order);
    }

    /// Logs a change of the reason why the target accepts no work.
    fn log_readiness(&mut self) {
        let unavailable = self.runner.find_unavailable_reason();
        if unavailable == self.logged_reason {
            return;
        }
        self.logged_reason = unavailable;
        // The key is empty if the target accepts work.
        let reason = unavailable
            .map(UnavailableReason::as_str)
            .unwrap_or_default();
        log::info!(
            ready = unavailable.is_none(), reason, stuck_runs = self.runner.counts().stuck,
            held_runs = self.runner.run_count();
            "target readiness changed"
        );
    }
}
