//! Schedule of the invitations that a control process sends after its restart.

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use cloverfold_base::Timestamp;
use cloverfold_peer::{GuardAttributes, Invitations, StoredPeers};
use proptest::prelude::*;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_start(Duration::from_millis(ms))
}

fn address(number: u16) -> SocketAddr {
    let [high, low] = number.to_be_bytes();
    SocketAddr::new(Ipv4Addr::new(10, 1, high, low).into(), 7_400)
}

/// Returns `count` stored processes: one entry and guards.
fn stored_peers(count: u16) -> StoredPeers {
    let guards = 1..count;
    StoredPeers {
        entries: [address(0)].into(),
        guards: guards
            .map(|number| (address(number), GuardAttributes::default()))
            .collect(),
    }
}

#[test]
fn processes_are_invited_at_once_and_again_until_they_are_connected() {
    let mut invitations = Invitations::new(&stored_peers(3), at(0));

    let first = invitations.take_due(at(0), |_| false);
    let soon = invitations.take_due(at(50), |_| false);
    let again = invitations.take_due(at(100), |peer| peer == address(1));
    let last = invitations.take_due(at(200), |_| false);

    assert_eq!(first, [address(0), address(1), address(2)]);
    assert_eq!(soon, []);
    assert_eq!(again, [address(0), address(2)]);
    assert_eq!(last, [address(0), address(2)], "1 was connected");
}

#[test]
fn no_process_is_invited_long_after_the_start() {
    let mut invitations = Invitations::new(&stored_peers(3), at(0));

    assert_eq!(invitations.take_due(at(3_001), |_| false), []);
    assert_eq!(invitations.take_due(at(100), |_| false), []);
}

#[test]
fn a_pass_invites_a_bounded_number_of_processes() {
    let mut invitations = Invitations::new(&stored_peers(200), at(0));

    let passes = (0..4).map(|pass| invitations.take_due(at(pass * 25), |_| false));
    let invited: Vec<Vec<SocketAddr>> = passes.collect();

    assert_eq!(
        invited.iter().map(Vec::len).collect::<Vec<_>>(),
        [64, 64, 64, 8]
    );
    let distinct: BTreeSet<SocketAddr> = invited.into_iter().flatten().collect();
    assert_eq!(distinct.len(), 200);
}

proptest! {
    #[test]
    fn a_process_is_invited_at_most_once_per_interval(count in 1_u16..300, steps in prop::collection::vec(1_u64..60, 1..80)) {
        let mut invitations = Invitations::new(&stored_peers(count), at(0));
        let mut last = std::collections::BTreeMap::new();
        let mut now = 0;

        for step in steps {
            now += step;
            let due = invitations.take_due(at(now), |_| false);
            prop_assert!(due.len() <= 64);
            for peer in due {
                let before = last.insert(peer, now);
                prop_assert!(before.is_none_or(|before| now >= before + 100));
            }
        }
    }
}
