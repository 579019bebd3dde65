//! The state of a guard.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cloverfold_base::{ProcessClock, Timestamp};
use cloverfold_configuration::StoredConfiguration;
use cloverfold_lease::{
    RenewalAnswer, RenewalOrder, Runner, RunnerAction, RunnerCounts, RunnerMessage, StartAnswer,
    StartOrder, StopOrder, UnavailableReason,
};
use cloverfold_leased_process::LeasedState;
use cloverfold_link::{LinkEvent, LinkId};
use cloverfold_peer::{
    ControlLinks, DialedPeers, Directory, Hello, PeerLinks, PeerMessage, PeerRole,
};
use tokio::sync::{Notify, mpsc};

use crate::interface::RegistrationCall;

/// How long a guard waits before it fetches a newer configuration, which it only keeps for entries that find no control process: a
/// burst of changes is fetched once.
const FETCH_DELAY: Duration = Duration::from_millis(1_000);

/// An order to the target.
#[derive(Debug)]
pub(crate) enum TargetOrder {
    /// Start a run.
    Start(StartOrder),
    /// Stop a run.
    Stop(StopOrder),
}

/// What a guard believes.
pub(crate) struct GuardState {
    clock: ProcessClock,
    own: Hello,
    runner: Runner,
    configuration: Option<StoredConfiguration>,
    fetch: Option<(LinkId, Timestamp)>,
    links: PeerLinks,
    controls: ControlLinks,
    entries: DialedPeers,
    orders: mpsc::UnboundedSender<TargetOrder>,
    renew_now: Arc<Notify>,
    unfitness: Option<UnavailableReason>,
}

impl LeasedState for GuardState {
    fn begin(&mut self) {
        self.controls.dial();
    }

    fn tick(&mut self) {
        let now = self.clock.now();
        self.runner.tick(now);
        if let Some((link, at)) = self.fetch
            && now >= at
        {
            self.fetch = None;
            self.links.send(link, &PeerMessage::Fetch);
        }
        self.advance();
    }

    fn link_event(&mut self, event: LinkEvent<PeerMessage>) {
        match event {
            LinkEvent::Opened {
                link,
                dialed,
                sender,
                ..
            } => {
                self.own.version = self.version();
                self.links.open(link, dialed, sender, &self.own);
            }
            LinkEvent::Received { link, message } => self.receive(link, message),
            LinkEvent::Closed { link } => self.link_closed(link),
        }
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
            own,
            runner,
            configuration: None,
            fetch: None,
            links: PeerLinks::default(),
            controls,
            entries,
            orders,
            renew_now,
            unfitness: Some(UnavailableReason::NoTarget),
        }
    }

    /// Replaces the seeds; links to control processes that are still wanted stay open.
    pub(crate) fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.controls.set_seeds(seeds);
    }

    pub(crate) fn counts(&self) -> RunnerCounts {
        self.runner.counts()
    }

    pub(crate) fn held(&self) -> usize {
        self.runner.held()
    }

    pub(crate) fn has_ready_target(&self) -> bool {
        self.runner.has_ready_target()
    }

    /// Takes no further work.
    pub(crate) fn leave(&mut self) {
        self.runner.leave(self.clock.now());
        self.advance();
    }

    /// Takes a call of the target; it is acknowledged afterwards.
    pub(crate) fn registration(&mut self, call: RegistrationCall) {
        let now = self.clock.now();
        match call {
            RegistrationCall::Register(registration) => {
                self.runner.register(registration, now);
            }
            RegistrationCall::Leave { incarnation } => {
                log::info!(target = incarnation.as_str(); "the target has left");
                self.runner.unregister(&incarnation, now);
            }
        }
        self.advance();
    }

    pub(crate) fn plan_renewal(&mut self) -> Option<RenewalOrder> {
        let now = self.clock.now();
        self.runner.plan_renewal(now)
    }

    pub(crate) fn receive_renewal_answer(&mut self, order: &RenewalOrder, answer: RenewalAnswer) {
        let now = self.clock.now();
        self.runner.receive_renewal_answer(order, answer, now);
        self.advance();
    }

    pub(crate) fn start_answered(&mut self, order: &StartOrder, answer: StartAnswer) {
        let now = self.clock.now();
        if !matches!(answer, StartAnswer::Started { .. }) {
            let answer = answer.to_string();
            log::info!(
                job = order.task.job.as_str(), index = order.task.index, run = order.run,
                attempt = order.attempt, target = order.incarnation.as_str(), answer = answer.as_str();
                "a start is not acknowledged"
            );
        }
        self.runner.start_answered(order, answer, now);
        self.advance();
    }

    fn version(&self) -> u64 {
        self.configuration.as_ref().map_or(0, |held| held.version)
    }

    fn receive(&mut self, link: LinkId, message: PeerMessage) {
        let now = self.clock.now();
        match message {
            PeerMessage::Hello(hello) => {
                log::info!(peer = hello.name.as_str(), link, version = hello.version; "peer connected");
                if hello.role == PeerRole::Entry {
                    self.runner.open_session(link, now);
                }
                let version = hello.version;
                self.links.record_hello(link, hello);
                self.plan_fetch(link, version);
            }
            PeerMessage::ToRunner(message) => self.runner.receive(link, message, now),
            PeerMessage::VersionNotice { version, .. } => self.plan_fetch(link, version),
            PeerMessage::Fetch => {
                if let Some(held) = self.configuration.clone() {
                    self.links.send(link, &PeerMessage::Configuration(held));
                }
            }
            PeerMessage::Configuration(stored) => self.take_configuration(stored),
            PeerMessage::Directory(directory) => self.take_directory(directory),
            PeerMessage::Invite { entry } => self.entries.add(entry),
            PeerMessage::ToDispatcher(_)
            | PeerMessage::Consensus(_)
            | PeerMessage::Proposal(_)
            | PeerMessage::Read { .. }
            | PeerMessage::ReadReply { .. } => {}
        }
    }

    fn plan_fetch(&mut self, link: LinkId, version: u64) {
        if version > self.version() && self.fetch.is_none() {
            self.fetch = Some((link, self.clock.now() + FETCH_DELAY));
        }
    }

    fn take_configuration(&mut self, stored: StoredConfiguration) {
        if stored.version <= self.version() {
            return;
        }
        log::info!(version = stored.version, before = self.version(); "a configuration is kept");
        let notice = PeerMessage::VersionNotice {
            version: stored.version,
            has_quorum: false,
        };
        self.configuration = Some(stored);
        self.links.send_to_all(&notice);
    }

    fn take_directory(&mut self, directory: Directory) {
        // Entries that are gone for good are dialed no more; whoever is in touch or invites stays.
        let mut entries = directory.entries;
        let linked = self.links.peers();
        let linked = linked.filter(|hello| hello.role == PeerRole::Entry);
        entries.extend(linked.map(|hello| hello.address));
        self.entries.set(&entries);
        self.controls.set_listed(directory.controls);
    }

    fn link_closed(&mut self, link: LinkId) {
        let now = self.clock.now();
        let Some(hello) = self.links.close(link) else {
            return;
        };
        if hello.role == PeerRole::Entry {
            self.runner.close_session(link, now);
        }
    }

    /// Carries out what the runner wants.
    fn advance(&mut self) {
        for action in self.runner.take_actions() {
            match action {
                RunnerAction::Send(session, message) => {
                    log_end(&message);
                    self.links
                        .send(session, &PeerMessage::ToDispatcher(message));
                }
                RunnerAction::CloseSession(session) => {
                    log::warn!(link = session; "an entry is silent; its runs are stopped");
                    self.link_closed(session);
                }
                RunnerAction::Start(order) => self.order(TargetOrder::Start(order)),
                RunnerAction::Stop(order) => self.order(TargetOrder::Stop(order)),
                RunnerAction::RenewNow => self.renew_now.notify_one(),
            }
        }
        let unfitness = self.runner.find_unavailable_reason();
        if unfitness != self.unfitness {
            self.unfitness = unfitness;
            let reason = unfitness.map(UnavailableReason::as_str);
            let counts = self.runner.counts();
            log::info!(
                ready = unfitness.is_none(), reason = reason.unwrap_or_default(),
                stuck_runs = counts.stuck, held_runs = self.runner.held();
                "the target's readiness has changed"
            );
        }
    }

    fn order(&self, order: TargetOrder) {
        // The receiver lives as long as the process.
        let _ = self.orders.send(order);
    }
}

/// Logs each run that did not end as it should.
fn log_end(message: &RunnerMessage) {
    use cloverfold_lease::RunOutcome;
    if let RunnerMessage::Ended {
        task,
        run,
        outcome,
        ran_ms,
        ..
    } = message
        && *outcome != RunOutcome::Done
    {
        let outcome = outcome.to_string();
        log::info!(
            job = task.job.as_str(), step = task.step, index = task.index, run, ran_ms,
            outcome = outcome.as_str();
            "a run is over"
        );
    }
}
