//! What passes a link proxy, and what its faults do.

#![allow(clippy::unwrap_used)]

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use cloverfold_faults::{DialerName, LinkFaults, LinkProxy};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// Bounds waits for what must come.
const PATIENCE: Duration = Duration::from_secs(60);
/// How long a test looks for what must not come.
const LOOK: Duration = Duration::from_millis(150);

/// Names a dialing side by the letter that it sends first.
fn name_by_letter(first: &[u8]) -> Option<DialerName> {
    let letter = first.first()?;
    Some(char::from(*letter).to_string())
}

/// A process that accepts connections behind a proxy.
struct Relayed {
    proxy: LinkProxy,
    address: SocketAddr,
    listener: TcpListener,
}

impl Relayed {
    async fn start() -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
        let free = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
        let address = free.local_addr().unwrap();
        drop(free);
        let upstream = listener.local_addr().unwrap();
        let proxy = LinkProxy::start(address, upstream, name_by_letter).unwrap();
        Self {
            proxy,
            address,
            listener,
        }
    }

    /// Opens a connection; returns both of its ends.
    async fn connect(&self) -> (TcpStream, TcpStream) {
        let dialed = TcpStream::connect(self.address).await.unwrap();
        let (accepted, _) = self.listener.accept().await.unwrap();
        (dialed, accepted)
    }
}

async fn read_letter(stream: &mut TcpStream) -> std::io::Result<u8> {
    timeout(PATIENCE, stream.read_u8()).await.unwrap()
}

/// Returns whether nothing comes for a while.
async fn is_quiet(stream: &mut TcpStream) -> bool {
    timeout(LOOK, stream.read_u8()).await.is_err()
}

#[tokio::test]
async fn a_cut_one_way_lets_the_other_way_through_and_delivers_after_its_end() {
    let relayed = Relayed::start().await;
    let (mut dialed, mut accepted) = relayed.connect().await;
    let cut = LinkFaults {
        blocks_to_upstream: true,
        ..LinkFaults::default()
    };
    relayed.proxy.set_for("a", cut);

    dialed.write_all(b"a").await.unwrap();
    accepted.write_all(b"b").await.unwrap();

    assert_eq!(read_letter(&mut dialed).await.unwrap(), b'b');
    assert!(is_quiet(&mut accepted).await);
    relayed.proxy.clear();
    assert_eq!(read_letter(&mut accepted).await.unwrap(), b'a');
}

#[tokio::test]
async fn a_cut_holds_for_the_named_dialer_alone() {
    let relayed = Relayed::start().await;
    let cut = LinkFaults {
        blocks_to_upstream: true,
        ..LinkFaults::default()
    };
    relayed.proxy.set_for("a", cut);
    let (mut dialed, mut accepted) = relayed.connect().await;

    dialed.write_all(b"c").await.unwrap();

    assert_eq!(read_letter(&mut accepted).await.unwrap(), b'c');
}

#[tokio::test]
async fn what_a_cut_held_up_is_lost_if_its_sender_resets_the_connection() {
    let relayed = Relayed::start().await;
    let (mut dialed, mut accepted) = relayed.connect().await;
    let cut = LinkFaults {
        blocks_to_upstream: true,
        ..LinkFaults::default()
    };
    relayed.proxy.set(cut);
    dialed.write_all(b"a").await.unwrap();
    assert!(is_quiet(&mut accepted).await);
    dialed.set_zero_linger().unwrap();
    drop(dialed);
    assert!(is_quiet(&mut accepted).await);

    relayed.proxy.clear();

    assert!(read_letter(&mut accepted).await.is_err());
}

#[tokio::test]
async fn a_reset_is_seen_at_both_ends() {
    let relayed = Relayed::start().await;
    let (mut dialed, mut accepted) = relayed.connect().await;
    dialed.write_all(b"a").await.unwrap();
    assert_eq!(read_letter(&mut accepted).await.unwrap(), b'a');

    relayed.proxy.reset_connections();

    assert!(read_letter(&mut dialed).await.is_err());
    assert!(read_letter(&mut accepted).await.is_err());
}

#[tokio::test]
async fn open_connections_that_go_silent_stay_so_while_new_ones_work() {
    let relayed = Relayed::start().await;
    let (mut dialed, mut accepted) = relayed.connect().await;
    dialed.write_all(b"a").await.unwrap();
    assert_eq!(read_letter(&mut accepted).await.unwrap(), b'a');
    relayed.proxy.blackhole_connections();
    tokio::time::sleep(LOOK).await;

    dialed.write_all(b"b").await.unwrap();
    let (mut new, mut new_accepted) = relayed.connect().await;
    new.write_all(b"c").await.unwrap();

    assert_eq!(read_letter(&mut new_accepted).await.unwrap(), b'c');
    assert!(is_quiet(&mut accepted).await);
}

#[tokio::test]
async fn a_dialing_side_is_refused_while_the_process_is_away() {
    let relayed = Relayed::start().await;
    let Relayed {
        proxy: _proxy,
        address,
        listener,
    } = relayed;
    drop(listener);

    let mut dialed = TcpStream::connect(address).await.unwrap();

    assert!(read_letter(&mut dialed).await.is_err());
}
