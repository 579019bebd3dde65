//! Tests of the forwarding and the faults of a link proxy.

#![allow(clippy::unwrap_used)]

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use cloverfold_faults::{DialerName, LinkFaults, LinkProxy};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// Timeout of expected events.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);
/// How long a test waits to verify that nothing arrives.
const QUIET_PERIOD: Duration = Duration::from_millis(150);

/// Identifies a dialing side by the first letter that it sends.
fn identify_by_letter(first: &[u8]) -> Option<DialerName> {
    let letter = first.first()?;
    Some(char::from(*letter).to_string())
}

/// A listener behind a proxy.
struct ProxiedListener {
    proxy: LinkProxy,
    address: SocketAddr,
    listener: TcpListener,
}

impl ProxiedListener {
    async fn start() -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
        let free = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
        let address = free.local_addr().unwrap();
        drop(free);
        let upstream = listener.local_addr().unwrap();
        let proxy = LinkProxy::start(address, upstream, identify_by_letter).unwrap();
        Self {
            proxy,
            address,
            listener,
        }
    }

    /// Opens a connection and returns both ends.
    async fn connect(&self) -> (TcpStream, TcpStream) {
        let dialed = TcpStream::connect(self.address).await.unwrap();
        let (accepted, _) = self.listener.accept().await.unwrap();
        (dialed, accepted)
    }
}

async fn read_letter(stream: &mut TcpStream) -> std::io::Result<u8> {
    timeout(TEST_TIMEOUT, stream.read_u8()).await.unwrap()
}

/// Returns whether nothing arrives for a short time.
async fn is_quiet(stream: &mut TcpStream) -> bool {
    timeout(QUIET_PERIOD, stream.read_u8()).await.is_err()
}

#[tokio::test]
async fn blocked_direction_delivers_later_and_the_other_direction_is_unaffected() {
    let proxied = ProxiedListener::start().await;
    let (mut dialed, mut accepted) = proxied.connect().await;
    let block = LinkFaults {
        blocks_to_upstream: true,
        ..LinkFaults::default()
    };
    proxied.proxy.set_for("a", block);

    dialed.write_all(b"a").await.unwrap();
    accepted.write_all(b"b").await.unwrap();

    assert_eq!(read_letter(&mut dialed).await.unwrap(), b'b');
    assert!(is_quiet(&mut accepted).await);
    proxied.proxy.clear();
    assert_eq!(read_letter(&mut accepted).await.unwrap(), b'a');
}

#[tokio::test]
async fn block_applies_only_to_the_named_dialer() {
    let proxied = ProxiedListener::start().await;
    let block = LinkFaults {
        blocks_to_upstream: true,
        ..LinkFaults::default()
    };
    proxied.proxy.set_for("a", block);
    let (mut dialed, mut accepted) = proxied.connect().await;

    dialed.write_all(b"c").await.unwrap();

    assert_eq!(read_letter(&mut accepted).await.unwrap(), b'c');
}

#[tokio::test]
async fn held_back_bytes_are_lost_if_their_sender_resets_the_connection() {
    let proxied = ProxiedListener::start().await;
    let (mut dialed, mut accepted) = proxied.connect().await;
    let block = LinkFaults {
        blocks_to_upstream: true,
        ..LinkFaults::default()
    };
    proxied.proxy.set(block);
    dialed.write_all(b"a").await.unwrap();
    assert!(is_quiet(&mut accepted).await);
    dialed.set_zero_linger().unwrap();
    drop(dialed);
    assert!(is_quiet(&mut accepted).await);

    proxied.proxy.clear();

    assert!(read_letter(&mut accepted).await.is_err());
}

#[tokio::test]
async fn reset_is_seen_at_both_ends() {
    let proxied = ProxiedListener::start().await;
    let (mut dialed, mut accepted) = proxied.connect().await;
    dialed.write_all(b"a").await.unwrap();
    assert_eq!(read_letter(&mut accepted).await.unwrap(), b'a');

    proxied.proxy.reset_connections();

    assert!(read_letter(&mut dialed).await.is_err());
    assert!(read_letter(&mut accepted).await.is_err());
}

#[tokio::test]
async fn blackholed_connections_stay_silent_while_new_ones_work() {
    let proxied = ProxiedListener::start().await;
    let (mut dialed, mut accepted) = proxied.connect().await;
    dialed.write_all(b"a").await.unwrap();
    assert_eq!(read_letter(&mut accepted).await.unwrap(), b'a');
    proxied.proxy.blackhole_connections();
    tokio::time::sleep(QUIET_PERIOD).await;

    dialed.write_all(b"b").await.unwrap();
    let (mut new, mut new_accepted) = proxied.connect().await;
    new.write_all(b"c").await.unwrap();

    assert_eq!(read_letter(&mut new_accepted).await.unwrap(), b'c');
    assert!(is_quiet(&mut accepted).await);
}

#[tokio::test]
async fn dialing_side_is_reset_while_the_process_is_down() {
    let proxied = ProxiedListener::start().await;
    let ProxiedListener {
        proxy: _proxy,
        address,
        listener,
    } = proxied;
    drop(listener);

    let mut dialed = TcpStream::connect(address).await.unwrap();

    assert!(read_letter(&mut dialed).await.is_err());
}
