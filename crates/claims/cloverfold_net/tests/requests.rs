//! Guards against requests that reach the wrong handler or an unauthenticated peer, and against exposed private keys.

#![allow(clippy::unwrap_used)]

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use cloverfold_net::{
    CallError, KeyFiles, Message, Network, NetworkConfig, Peer, PeerAddress, PeerRole, ReplySink,
    Router, make_key_set,
};
use serde::{Deserialize, Serialize};

const TIMEOUT: Duration = Duration::from_secs(5);

#[derive(Serialize, Deserialize)]
struct Count {
    to: u32,
}

impl Message for Count {
    const KIND: u16 = 1;
    const NAME: &'static str = "count";
    type Reply = u32;
}

#[derive(Serialize, Deserialize)]
struct Restricted;

impl Message for Restricted {
    const KIND: u16 = 2;
    const NAME: &'static str = "restricted";
    type Reply = ();
}

#[derive(Serialize, Deserialize)]
struct Unregistered;

impl Message for Unregistered {
    const KIND: u16 = 3;
    const NAME: &'static str = "unregistered";
    type Reply = ();
}

/// Has the number of [`Count`] but a body that does not decode as one.
#[derive(Serialize, Deserialize)]
struct Malformed;

impl Message for Malformed {
    const KIND: u16 = 1;
    const NAME: &'static str = "malformed";
    type Reply = u32;
}

fn make_router() -> Router {
    let mut router = Router::default();
    router.register_streaming(
        &[PeerRole::Entry, PeerRole::Guard],
        |_peer: Peer, count: Count, mut sink: ReplySink| async move {
            for number in 0..count.to {
                sink.send(&number).await;
            }
            sink.finish().await;
        },
    );
    router.register(&[PeerRole::Operator], |_peer: Peer, _: Restricted| async {});
    router
}

fn bind(folder: &Path, name: &str) -> Network {
    make_key_set(folder, &[name.into()]).unwrap();
    let keys = KeyFiles::in_folder(folder, name);
    let any_port = "127.0.0.1:0".parse().unwrap();
    let config = NetworkConfig::default();
    Network::bind(any_port, &keys, config, Default::default()).unwrap()
}

/// Starts a serving guard and returns it with its address.
fn serve(folder: &Path) -> (Network, PeerAddress) {
    let network = bind(folder, "guard-1");
    let address = PeerAddress {
        name: "guard-1".into(),
        address: network.local_address().unwrap(),
    };
    tokio::spawn(network.clone().serve(Arc::new(make_router())));
    (network, address)
}

#[tokio::test]
async fn replies_arrive_in_order_until_the_end() {
    let folder = tempfile::tempdir().unwrap();
    let (_server, address) = serve(folder.path());
    let client = bind(folder.path(), "entry-1");

    let mut replies = client.open(&address, &Count { to: 3 }).await.unwrap();
    let mut seen = Vec::new();
    while let Some(number) = replies.next().await.unwrap() {
        seen.push(number);
    }

    assert_eq!(seen, [0, 1, 2]);
}

#[tokio::test]
async fn requests_without_a_permitted_handler_are_refused() {
    let folder = tempfile::tempdir().unwrap();
    let (_server, address) = serve(folder.path());
    let client = bind(folder.path(), "entry-1");

    let restricted = client.call(&address, &Restricted, TIMEOUT).await;
    let unregistered = client.call(&address, &Unregistered, TIMEOUT).await;
    let malformed = client.call(&address, &Malformed, TIMEOUT).await;

    assert!(matches!(restricted, Err(CallError::Refused { .. })));
    assert!(matches!(unregistered, Err(CallError::Refused { .. })));
    assert!(matches!(malformed, Err(CallError::Refused { .. })));
}

#[tokio::test]
async fn a_peer_of_another_authority_is_rejected() {
    let folder = tempfile::tempdir().unwrap();
    let other_folder = tempfile::tempdir().unwrap();
    let (_server, address) = serve(folder.path());
    let foreign_client = bind(other_folder.path(), "entry-1");

    let reply = foreign_client
        .call(&address, &Count { to: 1 }, TIMEOUT)
        .await;

    assert!(matches!(reply, Err(CallError::NotSent { .. })), "{reply:?}");
}

#[tokio::test]
async fn a_peer_with_another_name_is_rejected() {
    let folder = tempfile::tempdir().unwrap();
    let (_server, mut address) = serve(folder.path());
    let client = bind(folder.path(), "entry-1");
    address.name = "guard-2".into();

    let reply = client.call(&address, &Count { to: 1 }, TIMEOUT).await;

    assert!(matches!(reply, Err(CallError::NotSent { .. })), "{reply:?}");
}

#[tokio::test]
async fn a_request_to_a_closed_endpoint_is_not_sent() {
    let folder = tempfile::tempdir().unwrap();
    let (server, address) = serve(folder.path());
    let client = bind(folder.path(), "entry-1");
    server.close().await;

    let reply = client.call(&address, &Count { to: 1 }, TIMEOUT).await;

    assert!(matches!(reply, Err(CallError::NotSent { .. })), "{reply:?}");
}

#[test]
fn keys_can_be_added_and_private_keys_have_owner_only_permissions() {
    use std::os::unix::fs::PermissionsExt;

    let folder = tempfile::tempdir().unwrap();
    make_key_set(folder.path(), &["guard-1".into()]).unwrap();
    let first = std::fs::read(folder.path().join("guard-1.pem")).unwrap();

    make_key_set(folder.path(), &["guard-1".into(), "guard-2".into()]).unwrap();

    let again = std::fs::read(folder.path().join("guard-1.pem")).unwrap();
    assert_eq!(first, again);
    for name in ["guard-1.key", "guard-2.key", "authority.key"] {
        let metadata = std::fs::metadata(folder.path().join(name)).unwrap();
        assert_eq!(metadata.permissions().mode() & 0o077, 0, "{name}");
    }
}
