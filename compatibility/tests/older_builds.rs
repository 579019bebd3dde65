//! `Hello` messages between this build and builds that predate evacuations.

#![allow(clippy::unwrap_used)]

mod support;

use std::net::SocketAddr;

use bytes::BytesMut;
use cloverfold_link::decode_frame;
use cloverfold_peer::{PeerMessage, PeerRole};
use serde::Deserialize;
use support::fixture_path;

fn read_frame(name: &str) -> BytesMut {
    let path = fixture_path(&format!("leased-messages/{name}.bin"));
    BytesMut::from(&std::fs::read(path).unwrap()[..])
}

/// The fields of a `Hello` that builds before evacuations decode.
#[derive(Debug, PartialEq, Deserialize)]
struct OldHello {
    name: String,
    role: PeerRole,
    address: SocketAddr,
    version: u64,
}

/// The message type of an older build, reduced to the variant under test.
#[derive(Debug, PartialEq, Deserialize)]
enum OldMessage {
    Hello(OldHello),
}

#[test]
fn an_older_build_decodes_a_hello_with_details() {
    let mut frame = read_frame("hello-details");

    let decoded: Option<OldMessage> = decode_frame(&mut frame).unwrap();

    let expected = OldHello {
        name: "process-56".to_owned(),
        role: PeerRole::Guard,
        address: SocketAddr::from(([10, 20, 30, 57], 5_700)),
        version: 58_000,
    };
    assert_eq!(decoded, Some(OldMessage::Hello(expected)));
    assert!(frame.is_empty());
}

#[test]
fn a_hello_of_an_older_build_has_no_details() {
    let mut frame = read_frame("hello-guard");

    let decoded: Option<PeerMessage> = decode_frame(&mut frame).unwrap();

    let Some(PeerMessage::Hello(hello)) = decoded else {
        panic!("{decoded:?}");
    };
    assert!(!hello.supports_evacuations());
    assert_eq!(hello.data_hall(), None);
}
