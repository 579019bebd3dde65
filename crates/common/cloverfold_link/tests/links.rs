//! Links over loopback: messages in both directions, reconnection, timeouts, and invalid frames.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use bytes::{BufMut, BytesMut};
use cloverfold_connections::{BudgetLimits, ConnectionBudget, STALL_TIMEOUT};
use cloverfold_faults::TcpProxy;
use cloverfold_link::{
    DialBackoff, Dialer, EncodedMessage, FrameError, Greeting, LinkEvent, MAX_FRAME_LEN,
    MAX_GREETING_LEN, accept_links, decode_frame, encode_frame, listen,
};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::timeout;

/// Returns a greeting that any message is, without limits.
fn any_greeting<M>() -> Greeting<M> {
    Greeting {
        budget: ConnectionBudget::unlimited(),
        is_greeting: |_| true,
    }
}

type Events = mpsc::Receiver<LinkEvent<String>>;

async fn next(events: &mut Events) -> LinkEvent<String> {
    timeout(Duration::from_secs(10), events.recv())
        .await
        .expect("an event in time")
        .expect("an open channel")
}

#[tokio::test]
async fn messages_go_both_ways_and_a_closed_link_is_reopened() {
    let listener = listen("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = listener.local_addr().unwrap();
    let (server_tx, mut server) = mpsc::channel(16);
    let (client_tx, mut client) = mpsc::channel(16);
    tokio::spawn(accept_links(listener, any_greeting(), server_tx));
    let _dialer = Dialer::start(address, DialBackoff::default(), client_tx);

    for _ in 0..2 {
        let LinkEvent::Opened {
            sender: up,
            dialed: true,
            ..
        } = next(&mut client).await
        else {
            panic!("the dialed link opens first");
        };
        let LinkEvent::Opened {
            sender: down,
            dialed: false,
            ..
        } = next(&mut server).await
        else {
            panic!("the accepted link opens first");
        };

        assert!(up.send(&"up".to_owned()).is_some());
        assert!(down.send(&"down".to_owned()).is_some());

        let LinkEvent::Received { message, .. } = next(&mut server).await else {
            panic!("a message");
        };
        assert_eq!(message, "up");
        let LinkEvent::Received { message, .. } = next(&mut client).await else {
            panic!("a message");
        };
        assert_eq!(message, "down");

        drop(down);
        assert!(matches!(next(&mut server).await, LinkEvent::Closed { .. }));
        assert!(matches!(next(&mut client).await, LinkEvent::Closed { .. }));
    }
}

#[test]
fn a_lost_peer_is_dialed_every_tenth_of_a_second_at_first_and_less_often_later() {
    let backoff = DialBackoff::default();
    let span = |failures| {
        let attempt = backoff.attempt_after(failures);
        attempt.connect_timeout + attempt.pause
    };

    let first_second: Duration = (0..10).map(span).sum();

    assert!(first_second <= Duration::from_secs(1), "{first_second:?}");
    assert!(span(1_000) >= 4 * span(0), "slow attempts are rarer");
}

#[test]
fn a_frame_is_decoded_only_when_it_is_complete() {
    let mut frame = BytesMut::new();
    encode_frame(&"text".to_owned(), &mut frame).unwrap();
    let last = frame.split_off(frame.len() - 1);

    assert!(decode_frame::<String>(&mut frame).unwrap().is_none());
    frame.unsplit(last);
    assert_eq!(
        decode_frame::<String>(&mut frame).unwrap().as_deref(),
        Some("text")
    );
    assert!(frame.is_empty());
}

#[test]
fn frames_that_are_too_long_or_malformed_are_rejected() {
    let mut too_long = BytesMut::new();
    too_long.put_u32_le(MAX_FRAME_LEN as u32 + 1);
    assert!(matches!(
        decode_frame::<String>(&mut too_long),
        Err(FrameError::TooLong(_))
    ));
    let mut no_text = BytesMut::new();
    no_text.put_u32_le(2);
    no_text.put_slice(&[1, 0xff]);
    assert!(matches!(
        decode_frame::<String>(&mut no_text),
        Err(FrameError::Codec(_))
    ));
}

#[tokio::test]
async fn a_link_to_a_silent_peer_closes_and_an_idle_link_stays_open() {
    let silent = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let idle = listen("127.0.0.1:0".parse().unwrap()).unwrap();
    let (idle_tx, mut idle_events) = mpsc::channel(16);
    let (silent_tx, mut silent_events) = mpsc::channel(16);
    let (dialed_tx, mut dialed_events) = mpsc::channel(16);
    let _to_silent = Dialer::start(
        silent.local_addr().unwrap(),
        DialBackoff::default(),
        silent_tx,
    );
    let _to_idle = Dialer::start(
        idle.local_addr().unwrap(),
        DialBackoff::default(),
        dialed_tx,
    );
    tokio::spawn(accept_links(idle, any_greeting(), idle_tx));
    let (_held, _) = silent.accept().await.unwrap();
    // The senders in the events keep the links open from this side.
    let held_links = [
        next(&mut dialed_events).await,
        next(&mut idle_events).await,
        next(&mut silent_events).await,
    ];
    assert!(
        held_links
            .iter()
            .all(|event| matches!(event, LinkEvent::Opened { .. }))
    );

    let event = next(&mut silent_events).await;

    assert!(matches!(event, LinkEvent::Closed { .. }));
    assert!(idle_events.try_recv().is_err(), "the idle link stays open");
}

#[tokio::test]
async fn a_link_whose_dialer_is_dropped_closes_at_both_ends() {
    let listener = listen("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = listener.local_addr().unwrap();
    let (server_tx, mut server) = mpsc::channel(16);
    let (client_tx, mut client) = mpsc::channel(16);
    tokio::spawn(accept_links(listener, any_greeting(), server_tx));
    let dialer = Dialer::start(address, DialBackoff::default(), client_tx);
    // The senders in the events keep the link open from both sides.
    let _opened = [next(&mut client).await, next(&mut server).await];

    drop(dialer);

    assert!(matches!(next(&mut client).await, LinkEvent::Closed { .. }));
    assert!(matches!(next(&mut server).await, LinkEvent::Closed { .. }));
}

#[tokio::test]
async fn a_message_to_a_full_queue_is_refused_and_earlier_ones_arrive() {
    let listener = listen("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = listener.local_addr().unwrap();
    let (server_tx, mut server) = mpsc::channel(16);
    let (client_tx, mut client) = mpsc::channel(16);
    tokio::spawn(accept_links(listener, any_greeting(), server_tx));
    let _dialer = Dialer::start(address, DialBackoff::default(), client_tx);
    let LinkEvent::Opened { sender, .. } = next(&mut client).await else {
        panic!("the dialed link opens first");
    };
    let _opened = next(&mut server).await;

    // The task of the link does not run between these calls.
    let accepted = (0..10_000).take_while(|number| sender.send(&format!("{number}")).is_some());
    let accepted = accepted.count();

    assert!((1..10_000).contains(&accepted), "{accepted}");
    for number in 0..accepted {
        let LinkEvent::Received { message, .. } = next(&mut server).await else {
            panic!("a message");
        };
        assert_eq!(message, number.to_string());
    }
}

#[tokio::test]
async fn a_half_open_link_closes_at_both_ends_and_is_reopened() {
    let listener = listen("127.0.0.1:0".parse().unwrap()).unwrap();
    let proxy = TcpProxy::start(listener.local_addr().unwrap())
        .await
        .unwrap();
    let (server_tx, mut server) = mpsc::channel(16);
    let (client_tx, mut client) = mpsc::channel(16);
    tokio::spawn(accept_links(listener, any_greeting(), server_tx));
    let _dialer = Dialer::start(proxy.address(), DialBackoff::default(), client_tx);
    // The senders in the events keep the link open from both sides.
    let _opened = [next(&mut client).await, next(&mut server).await];

    proxy.blackhole_connections();

    assert!(matches!(next(&mut client).await, LinkEvent::Closed { .. }));
    let LinkEvent::Opened { sender, .. } = next(&mut client).await else {
        panic!("expected a new link");
    };
    assert!(sender.send(&"again".to_owned()).is_some());
    let mut is_received = false;
    let mut is_closed = false;
    let mut held = Vec::new();
    while !(is_received && is_closed) {
        let event = next(&mut server).await;
        is_received |= matches!(&event, LinkEvent::Received { message, .. } if message == "again");
        is_closed |= matches!(event, LinkEvent::Closed { .. });
        held.push(event);
    }
}

/// A message that counts how often it is encoded.
struct CountedMessage(std::cell::Cell<u32>);

impl serde::Serialize for CountedMessage {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        self.0.set(self.0.get() + 1);
        serializer.serialize_u32(0)
    }
}

#[test]
fn clones_of_an_encoded_message_share_its_bytes() {
    let message = CountedMessage(0.into());

    let encoded = EncodedMessage::new(&message).unwrap();
    let copies: Vec<_> = (0..1_000).map(|_| encoded.clone()).collect();

    assert_eq!(message.0.get(), 1);
    assert!(copies.iter().all(|copy| copy.frame_len() == 5));
}

/// Starts to accept links whose first message must be `hello`, at most `count` before that.
fn accept_greeted(count: usize) -> (std::net::SocketAddr, ConnectionBudget, Events) {
    let listener = listen("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = listener.local_addr().unwrap();
    let limits = BudgetLimits {
        connections: count,
        bytes: usize::MAX,
    };
    let greeting = Greeting {
        budget: ConnectionBudget::new("test", limits),
        is_greeting: |message: &String| message == "hello",
    };
    let budget = greeting.budget.clone();
    let (tx, rx) = mpsc::channel(16);
    tokio::spawn(accept_links(listener, greeting, tx));
    (address, budget, rx)
}

fn long_message() -> String {
    "x".repeat(MAX_GREETING_LEN + 1)
}

/// Fails if a process reads a long frame of a peer that has not said who it is, or no long frame of one that has.
#[tokio::test]
async fn a_long_frame_is_read_only_after_the_greeting() {
    let (address, budget, mut server) = accept_greeted(8);
    let (client_tx, mut client) = mpsc::channel(16);
    let _dialer = Dialer::start(address, DialBackoff::default(), client_tx);
    let LinkEvent::Opened { sender, .. } = next(&mut client).await else {
        panic!("expected an opened link");
    };
    // The sender in the event keeps the link open.
    let _opened = next(&mut server).await;
    sender.send(&"hello".to_owned()).unwrap();
    sender.send(&long_message()).unwrap();

    let greeting = next(&mut server).await;
    let long = next(&mut server).await;

    assert!(matches!(greeting, LinkEvent::Received { message, .. } if message == "hello"));
    assert!(matches!(long, LinkEvent::Received { message, .. } if message == long_message()));
    assert_eq!(budget.usage().connections, 0);

    let mut buf = BytesMut::new();
    encode_frame(&long_message(), &mut buf).unwrap();
    let mut stranger = TcpStream::connect(address).await.unwrap();
    stranger.write_all(&buf).await.unwrap();
    let _opened = next(&mut server).await;
    assert!(matches!(next(&mut server).await, LinkEvent::Closed { .. }));
}

/// Fails if links without a greeting shut out others, or cost one that has greeted its place.
#[tokio::test]
async fn links_without_a_greeting_give_way() {
    let (address, budget, mut server) = accept_greeted(2);
    let (client_tx, mut client) = mpsc::channel(16);
    let _dialer = Dialer::start(address, DialBackoff::default(), client_tx);
    let LinkEvent::Opened { sender, .. } = next(&mut client).await else {
        panic!("expected an opened link");
    };
    let _opened = next(&mut server).await;
    sender.send(&"hello".to_owned()).unwrap();
    assert!(matches!(
        next(&mut server).await,
        LinkEvent::Received { .. }
    ));

    let mut strangers = Vec::new();
    for _ in 0..3 {
        strangers.push(TcpStream::connect(address).await.unwrap());
        tokio::time::sleep(STALL_TIMEOUT).await;
    }

    let mut opened = Vec::new();
    let closed = loop {
        match next(&mut server).await {
            LinkEvent::Opened { link, sender, .. } => opened.push((link, sender)),
            LinkEvent::Closed { link } => break link,
            LinkEvent::Received { .. } => panic!("expected no message"),
        }
    };
    assert_eq!(Some(closed), opened.first().map(|(link, _)| *link));
    assert_eq!(budget.usage().closed, 1);
    assert!(sender.send(&"still here".to_owned()).is_some());
}
