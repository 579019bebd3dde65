//! What a build before evacuations makes of an introduction of this build, and this build of one of its own.

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

/// The first fields of an introduction, which are all that builds before evacuations know.
#[derive(Debug, PartialEq, Deserialize)]
struct OldHello {
    name: String,
    role: PeerRole,
    address: SocketAddr,
    version: u64,
}

/// The only variant of a message that this test decodes as an older build does.
#[derive(Debug, PartialEq, Deserialize)]
enum OldMessage {
    Hello(OldHello),
}

#[test]
fn a_build_before_evacuations_reads_an_introduction_with_details() {
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
fn an_introduction_of_a_build_before_evacuations_has_no_details() {
    let mut frame = read_frame("hello-guard");

    let decoded: Option<PeerMessage> = decode_frame(&mut frame).unwrap();

    let Some(PeerMessage::Hello(hello)) = decoded else {
        panic!("{decoded:?}");
    };
    assert!(!hello.supports_evacuations());
    assert_eq!(hello.data_hall(), None);
}
