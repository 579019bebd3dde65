//! The file in which a control process stores entries and guards, compared with its recorded bytes.

#![allow(clippy::unwrap_used)]

mod support;

use cloverfold_peer::{GuardAttributes, StoredPeers};
use support::{assert_recorded, read_or_record};

const FIXTURE: &str = "control-disk/peers.bin";

fn peers() -> StoredPeers {
    let guard = |service: Option<&str>, hall: Option<&str>| GuardAttributes {
        service: service.map(Into::into),
        data_hall: hall.map(Into::into),
    };
    StoredPeers {
        entries: ["192.0.2.1:7400", "[2001:db8::2]:7400"]
            .map(|address| address.parse().unwrap())
            .into(),
        guards: [
            ("192.0.2.3:7400", guard(Some("send"), Some("hall-a"))),
            ("192.0.2.4:65535", guard(None, None)),
        ]
        .map(|(address, guard)| (address.parse().unwrap(), guard))
        .into(),
    }
}

#[test]
fn stored_peers_are_encoded_and_decoded_as_recorded() {
    let bytes = postcard::to_stdvec(&peers()).unwrap();

    assert_recorded(FIXTURE, &bytes);
    let recorded = read_or_record(FIXTURE, &bytes);
    let decoded: StoredPeers = postcard::from_bytes(&recorded).unwrap();
    assert_eq!(decoded, peers());
}
