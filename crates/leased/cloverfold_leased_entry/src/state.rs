//! The state of an entry.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cloverfold_base::{ProcessClock, unix_now};
use cloverfold_configuration::Configuration;
use cloverfold_lease::{
    Dispatcher, DispatcherAction, DispatcherCounts, JobAnswer, JobNumber, JobRequest, RefusalCause,
};
use cloverfold_leased_process::LeasedState;
use cloverfold_link::{LinkEvent, LinkId, send_once};
use cloverfold_peer::{ControlLinks, Hello, PeerLinks, PeerMessage, PeerRole};
use tokio::sync::oneshot;

use crate::configuration::ConfigurationInForce;
use crate::event_log::log_event;
use crate::protocol::JobProtocol;

/// A gap between two ticks from which this process has stood still: what it reads then may be old.
const STALL: Duration = Duration::from_millis(300);
/// How often a guard that is out of touch is invited.
const INVITE_INTERVAL: Duration = Duration::from_millis(500);
/// How long a guard that is out of touch is remembered.
const GUARD_MEMORY: Duration = Duration::from_secs(60);
/// Runs are numbered by tenths of seconds since this moment (2026-01-01), so that a job that comes again, here or elsewhere, begins
/// above the numbers of its earlier runs.
const RUN_EPOCH: Duration = Duration::from_secs(1_767_225_600);
const RUN_UNIT_MS: u128 = 100;

/// A guard that was in touch.
struct KnownGuard {
    links: usize,
    seen_at: Duration,
}

/// What an entry believes.
pub(crate) struct EntryState {
    clock: ProcessClock,
    own: Hello,
    protocol: Arc<dyn JobProtocol>,
    pub(crate) dispatcher: Dispatcher,
    in_force: ConfigurationInForce,
    fetching: Option<(u64, Duration)>,
    links: PeerLinks,
    controls: ControlLinks,
    guards: BTreeMap<SocketAddr, KnownGuard>,
    invited_at: Duration,
    answers: HashMap<JobNumber, oneshot::Sender<JobAnswer>>,
    ticked_at: Duration,
    is_leaving: bool,
    was_ready: bool,
}

impl LeasedState for EntryState {
    fn begin(&mut self) {
        self.controls.dial();
    }

    fn tick(&mut self) {
        let now = self.clock.now();
        let gap = now.saturating_sub(self.ticked_at);
        if gap > STALL {
            log::warn!(gap_ms = gap.as_millis() as u64; "the process stood still");
        }
        self.ticked_at = now;
        self.dispatcher.tick(now);
        self.invite_guards(now);
        self.advance();
        let unreadiness = self.find_unreadiness();
        if unreadiness.is_none() != self.was_ready {
            self.was_ready = unreadiness.is_none();
            log::info!(ready = self.was_ready, reason = unreadiness.unwrap_or_default(), version = self.version(); "readiness has changed");
        }
    }

    fn link_event(&mut self, event: LinkEvent<PeerMessage>) {
        match event {
            LinkEvent::Opened {
                link,
                dialed,
                sender,
                ..
            } => {
                self.own.version = self.in_force.version();
                self.links.open(link, dialed, sender, &self.own);
            }
            LinkEvent::Received { link, message } => self.receive(link, message),
            LinkEvent::Closed { link } => self.link_closed(link),
        }
        self.advance();
    }
}

impl EntryState {
    pub(crate) fn new(
        own: Hello,
        protocol: Arc<dyn JobProtocol>,
        dispatcher: Dispatcher,
        controls: ControlLinks,
    ) -> Self {
        Self {
            clock: ProcessClock::default(),
            own,
            protocol,
            dispatcher,
            in_force: ConfigurationInForce::default(),
            fetching: None,
            links: PeerLinks::default(),
            controls,
            guards: BTreeMap::new(),
            invited_at: Duration::ZERO,
            answers: HashMap::new(),
            ticked_at: Duration::ZERO,
            is_leaving: false,
            was_ready: false,
        }
    }

    /// Replaces the seeds; links to control processes that are still wanted stay open.
    pub(crate) fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.controls.set_seeds(seeds);
    }

    pub(crate) fn configuration(&self) -> Option<Arc<Configuration>> {
        self.in_force.decoded()
    }

    pub(crate) fn version(&self) -> u64 {
        self.in_force.version()
    }

    pub(crate) fn counts(&self) -> DispatcherCounts {
        self.dispatcher.counts()
    }

    pub(crate) fn ready_targets(&self) -> usize {
        self.dispatcher.ready_targets(self.clock.now())
    }

    /// Says why this entry should get no new connections, if there is a reason.
    pub(crate) fn find_unreadiness(&self) -> Option<&'static str> {
        if self.is_leaving {
            Some("the entry is stopping")
        } else if self.in_force.version() == 0 {
            Some("no configuration is in force")
        } else if self.ready_targets() == 0 {
            Some("no target is in touch")
        } else {
            None
        }
    }

    /// Shows that the process stops.
    pub(crate) fn begin_leaving(&mut self) {
        self.is_leaving = true;
    }

    /// Takes no further job.
    pub(crate) fn refuse_jobs(&mut self) {
        self.dispatcher.leave();
    }

    /// Takes a job; its one answer comes through the channel.
    pub(crate) fn submit(
        &mut self,
        request: JobRequest,
    ) -> (JobNumber, oneshot::Receiver<JobAnswer>) {
        let (tx, rx) = oneshot::channel();
        let now = self.clock.now();
        if now > self.ticked_at + STALL {
            // The process stood still, and the request may have waited so long that its caller has asked elsewhere.
            log::warn!(job = request.id.as_str(), gap_ms = (now - self.ticked_at).as_millis() as u64; "a job is refused after a stall");
            let answer = JobAnswer::Refused {
                cause: RefusalCause::Stalled,
                retry_after: Duration::from_secs(1),
            };
            // The receiver is still held here.
            let _ = tx.send(answer);
            return (0, rx);
        }
        let since_epoch = unix_now().saturating_sub(RUN_EPOCH).as_millis();
        self.dispatcher
            .set_first_run((since_epoch / RUN_UNIT_MS) as u64 + 1);
        let number = self.dispatcher.submit(request, now);
        self.answers.insert(number, tx);
        self.advance();
        (number, rx)
    }

    /// Stops a job whose caller has left.
    pub(crate) fn cancel(&mut self, number: JobNumber) {
        if self.answers.remove(&number).is_some() {
            self.dispatcher.cancel(number);
            self.advance();
        }
    }

    /// Stops a job by its name.
    pub(crate) fn cancel_named(&mut self, id: &str) -> bool {
        let is_open = self.dispatcher.cancel_named(id);
        self.advance();
        is_open
    }

    fn receive(&mut self, link: LinkId, message: PeerMessage) {
        let now = self.clock.now();
        match message {
            PeerMessage::Hello(hello) => self.greet(link, hello),
            PeerMessage::ToDispatcher(message) => self.dispatcher.receive(link, message, now),
            PeerMessage::VersionNotice { version, .. } => self.fetch(link, version),
            PeerMessage::Fetch => {
                if let Some(stored) = self.in_force.stored().cloned() {
                    self.links.send(link, &PeerMessage::Configuration(stored));
                }
            }
            PeerMessage::Configuration(stored) => {
                self.fetching = None;
                let format = self.protocol.clone();
                if self.in_force.replace(stored, format.as_ref()) {
                    self.tell_controls();
                }
            }
            PeerMessage::Directory(directory) => {
                self.controls.set_listed(directory.controls);
            }
            PeerMessage::ToRunner(_)
            | PeerMessage::Invite { .. }
            | PeerMessage::Consensus(_)
            | PeerMessage::Proposal(_)
            | PeerMessage::Read { .. }
            | PeerMessage::ReadReply { .. } => {}
        }
    }

    /// Tells the control processes which version is in force here, for operators who ask them.
    fn tell_controls(&self) {
        let holding = PeerMessage::VersionNotice {
            version: self.in_force.version(),
            has_quorum: false,
        };
        let is_control = |role| matches!(role, PeerRole::Control { .. });
        self.links.send_to_roles(is_control, &holding);
    }

    /// Asks a peer for its configuration if it is newer and nobody was asked just now.
    fn fetch(&mut self, link: LinkId, version: u64) {
        const PATIENCE: Duration = Duration::from_millis(200);
        let now = self.clock.now();
        if version <= self.in_force.version() {
            return;
        }
        if self
            .fetching
            .is_some_and(|(held, at)| held >= version && now < at + PATIENCE)
        {
            return;
        }
        self.fetching = Some((version, now));
        self.links.send(link, &PeerMessage::Fetch);
    }

    fn greet(&mut self, link: LinkId, hello: Hello) {
        let now = self.clock.now();
        log::info!(peer = hello.name.as_str(), link, version = hello.version; "peer connected");
        if hello.role == PeerRole::Guard {
            self.dispatcher.open_session(link, &hello.name, now);
            let known = self.guards.entry(hello.address).or_insert(KnownGuard {
                links: 0,
                seen_at: now,
            });
            known.links += 1;
        }
        let version = hello.version;
        self.links.record_hello(link, hello);
        self.fetch(link, version);
    }

    fn link_closed(&mut self, link: LinkId) {
        let now = self.clock.now();
        let Some(hello) = self.links.close(link) else {
            return;
        };
        if hello.role == PeerRole::Guard {
            self.dispatcher.close_session(link, now);
            if let Some(known) = self.guards.get_mut(&hello.address) {
                known.links = known.links.saturating_sub(1);
                known.seen_at = now;
            }
        }
    }

    /// Invites guards that are out of touch: they may have restarted and know of nobody.
    fn invite_guards(&mut self, now: Duration) {
        if now < self.invited_at + INVITE_INTERVAL || self.is_leaving {
            return;
        }
        self.invited_at = now;
        self.guards
            .retain(|_, known| known.links > 0 || now < known.seen_at + GUARD_MEMORY);
        for (address, known) in &self.guards {
            if known.links == 0 {
                let address = *address;
                let entry = self.own.address;
                tokio::spawn(async move {
                    // It is invited again as long as it does not come.
                    let _ = send_once(address, &PeerMessage::Invite { entry }).await;
                });
            }
        }
    }

    /// Carries out what the dispatcher wants.
    fn advance(&mut self) {
        for action in self.dispatcher.take_actions() {
            match action {
                DispatcherAction::Send(session, message) => {
                    self.links.send(session, &PeerMessage::ToRunner(message));
                }
                DispatcherAction::CloseSession(session) => {
                    log::warn!(link = session; "a guard is silent; its link is closed");
                    self.link_closed(session);
                }
                DispatcherAction::Report(event) => log_event(&event, self.in_force.version()),
                DispatcherAction::Answer(number, answer) => {
                    if let Some(waiting) = self.answers.remove(&number) {
                        // A caller that has left needs no answer.
                        let _ = waiting.send(answer);
                    }
                }
            }
        }
    }
}
