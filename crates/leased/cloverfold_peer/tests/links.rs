//! The table of open links, with two processes connected over loopback.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::time::Duration;

use cloverfold_connections::ConnectionBudget;
use cloverfold_evacuation::EvacuatedHalls;
use cloverfold_link::{DialBackoff, Dialer, Greeting, LinkEvent, LinkId, accept_links, listen};
use cloverfold_peer::{
    Hello, PeerDetails, PeerLinks, PeerMessage, PeerRole, SharedMessage, Trailing,
};
use tokio::sync::mpsc;
use tokio::time::timeout;

/// Returns a greeting that any message is, without limits.
fn any_greeting<M>() -> Greeting<M> {
    Greeting {
        budget: ConnectionBudget::unlimited(),
        is_greeting: |_| true,
    }
}

const EVENT_TIMEOUT: Duration = Duration::from_secs(5);

/// One end of the connection: its links, and the events that are not handled yet.
struct End {
    own_hello: Hello,
    links: PeerLinks,
    events: mpsc::Receiver<LinkEvent<PeerMessage>>,
}

impl End {
    fn new(own_hello: Hello, events: mpsc::Receiver<LinkEvent<PeerMessage>>) -> Self {
        Self {
            own_hello,
            links: PeerLinks::default(),
            events,
        }
    }

    async fn next(&mut self) -> LinkEvent<PeerMessage> {
        timeout(EVENT_TIMEOUT, self.events.recv())
            .await
            .unwrap()
            .unwrap()
    }

    /// Handles the opening of the next link and the peer's `Hello`.
    async fn handshake(&mut self) -> LinkId {
        let LinkEvent::Opened {
            link,
            dialed,
            sender,
            ..
        } = self.next().await
        else {
            panic!("expected a link to open");
        };
        self.links.open(link, dialed, sender, &self.own_hello);
        let PeerMessage::Hello(hello) = self.receive().await else {
            panic!("expected a Hello");
        };
        assert!(self.links.record_hello(link, hello));
        link
    }

    async fn receive(&mut self) -> PeerMessage {
        match self.next().await {
            LinkEvent::Received { message, .. } => message,
            other => panic!("expected a message, got {other:?}"),
        }
    }
}

fn hello(name: &str, role: PeerRole, address: SocketAddr) -> Hello {
    Hello {
        name: name.into(),
        role,
        address,
        version: 0,
        details: Trailing(Some(PeerDetails::new("hall-a"))),
    }
}

fn evacuated_halls(revision: u64) -> EvacuatedHalls {
    EvacuatedHalls {
        revision,
        halls: ["hall-a".to_owned()].into(),
    }
}

/// Connects a guard, which dials, to an entry.
async fn connect() -> (End, LinkId, End, LinkId, Dialer) {
    let listener = listen("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = listener.local_addr().unwrap();
    let (entry_tx, entry_rx) = mpsc::channel(16);
    let (guard_tx, guard_rx) = mpsc::channel(16);
    let mut entry = End::new(hello("entry", PeerRole::Entry, address), entry_rx);
    let mut guard = End::new(hello("guard", PeerRole::Guard, address), guard_rx);
    tokio::spawn(accept_links(listener, any_greeting(), entry_tx));
    let dialer = Dialer::start(address, DialBackoff::default(), guard_tx);
    let (entry_link, guard_link) = tokio::join!(entry.handshake(), guard.handshake());
    (entry, entry_link, guard, guard_link, dialer)
}

#[tokio::test]
async fn both_ends_of_a_link_know_each_other_and_who_dialed() {
    let (entry, entry_link, guard, guard_link, _dialer) = connect().await;

    assert_eq!(entry.links.hello(entry_link), Some(&guard.own_hello));
    assert_eq!(guard.links.hello(guard_link), Some(&entry.own_hello));
    assert!(guard.links.is_dialed(guard_link));
    assert!(!entry.links.is_dialed(entry_link));
}

#[tokio::test]
async fn a_message_to_a_role_reaches_only_peers_of_that_role() {
    let (entry, entry_link, mut guard, _, _dialer) = connect().await;
    let invite = PeerMessage::Invite {
        entry: entry.own_hello.address,
    };

    let is_entry = |role| role == PeerRole::Entry;
    entry.links.send_to_roles(is_entry, &invite);
    let is_guard = |role| role == PeerRole::Guard;
    entry.links.send_to_roles(is_guard, &PeerMessage::Fetch);
    assert!(entry.links.send(entry_link, &invite));

    assert_eq!(guard.receive().await, PeerMessage::Fetch);
    assert_eq!(guard.receive().await, invite);
}

#[tokio::test]
async fn a_recorded_version_replaces_the_one_in_the_hello() {
    let (mut entry, entry_link, _guard, _, _dialer) = connect().await;

    entry.links.record_version(entry_link, 7);

    let versions: Vec<_> = entry.links.peers().map(|peer| peer.version).collect();
    assert_eq!(versions, [7]);
}

#[tokio::test]
async fn closing_a_link_closes_it_for_the_peer_and_for_later_calls() {
    let (mut entry, entry_link, mut guard, guard_link, _dialer) = connect().await;

    assert_eq!(entry.links.close(entry_link), Some(guard.own_hello.clone()));

    assert_eq!(entry.links.close(entry_link), None);
    assert!(
        !entry
            .links
            .record_hello(entry_link, guard.own_hello.clone())
    );
    assert!(!entry.links.send(entry_link, &PeerMessage::Fetch));
    assert_eq!(entry.links.peers().count(), 0);
    assert!(matches!(guard.next().await, LinkEvent::Closed { link } if link == guard_link));
}

#[tokio::test]
async fn sent_messages_are_counted_by_kind_and_failed_ones_are_not() {
    let (mut entry, entry_link, mut guard, _, _dialer) = connect().await;
    entry.links.send(entry_link, &PeerMessage::Fetch);
    entry.links.send_to_all(&PeerMessage::Fetch);
    assert_eq!(guard.receive().await, PeerMessage::Fetch);
    entry.links.close(entry_link);

    entry.links.send(entry_link, &PeerMessage::Fetch);

    let sent = entry.links.sent().iter().filter(|sent| sent.messages > 0);
    let sent: Vec<_> = sent.map(|sent| (sent.kind, sent.messages)).collect();
    assert_eq!(sent, [("hello", 1), ("fetch", 2)]);
    assert!(entry.links.sent().iter().all(|s| s.bytes >= 5 * s.messages));
}

#[tokio::test]
async fn a_shared_message_is_delivered_and_counted_like_any_other() {
    let (entry, entry_link, mut guard, _, _dialer) = connect().await;
    let message = PeerMessage::VersionNotice {
        version: 7,
        has_quorum: true,
    };
    let shared = SharedMessage::new(&message).unwrap();

    assert!(entry.links.send_shared(entry_link, &shared));
    assert!(entry.links.send_shared(entry_link, &shared));
    assert!(!entry.links.send_shared(entry_link + 100, &shared));

    assert_eq!(guard.receive().await, message);
    assert_eq!(guard.receive().await, message);
    let mut sent = entry.links.sent().iter();
    let notices = sent.find(|sent| sent.kind == "version_notice").unwrap();
    assert_eq!(notices.messages, 2);
}

#[tokio::test]
async fn evacuations_can_be_sent_to_one_peer() {
    let (entry, entry_link, mut guard, _, _dialer) = connect().await;

    entry
        .links
        .send_evacuations_to(entry_link + 100, &evacuated_halls(1));
    entry
        .links
        .send_evacuations_to(entry_link, &evacuated_halls(2));
    entry.links.send(entry_link, &PeerMessage::Fetch);

    let sent = PeerMessage::Evacuations(evacuated_halls(2));
    assert_eq!(guard.receive().await, sent);
    assert_eq!(guard.receive().await, PeerMessage::Fetch);
}

#[tokio::test]
async fn evacuations_are_sent_to_peers_that_have_not_acknowledged_them() {
    let (mut entry, entry_link, mut guard, _, _dialer) = connect().await;

    entry.links.record_evacuations(entry_link, 2);
    entry.links.send_evacuations(&evacuated_halls(2), |_| true);
    entry.links.send_evacuations(&evacuated_halls(3), |_| true);

    assert_eq!(
        guard.receive().await,
        PeerMessage::Evacuations(evacuated_halls(3))
    );
    entry.links.record_evacuations(entry_link, 1);
    assert_eq!(entry.links.known_evacuations(entry_link), 2);
}

#[tokio::test]
async fn evacuations_are_not_sent_to_a_peer_without_support() {
    let (mut entry, entry_link, mut guard, _, _dialer) = connect().await;
    let old = Hello {
        details: Trailing(None),
        ..guard.own_hello.clone()
    };
    entry.links.record_hello(entry_link, old);

    entry.links.send_evacuations(&evacuated_halls(3), |_| true);
    entry.links.send(entry_link, &PeerMessage::Fetch);

    assert_eq!(guard.receive().await, PeerMessage::Fetch);
}
