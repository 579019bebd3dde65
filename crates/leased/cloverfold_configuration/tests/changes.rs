//! Changes of configurations: what a process that has an older one is sent, and that it gets the newer text to the byte or nothing.

#![allow(clippy::unwrap_used)]

use cloverfold_configuration::{
    ConfigurationDelta, RecentConfigurations, StoredConfiguration, TextPiece, Version,
};
use proptest::prelude::*;

/// A configuration with so many routes; the first has a time limit of its own.
fn with_routes(version: Version, routes: usize, first_limit_ms: u64) -> StoredConfiguration {
    let route = |index: usize| {
        let limit = if index == 0 { first_limit_ms } else { 1_500 };
        format!(r#"{{"Name":"route-{index}","PathPrefix":"/path-{index}/","LimitMs":{limit}}}"#)
    };
    let routes: Vec<String> = (0..routes).map(route).collect();
    let text = format!(r#"{{"Version":{version},"Routes":[{}]}}"#, routes.join(","));
    stored(version, text.as_bytes())
}

/// A configuration with these routes.
fn of_routes(version: Version, names: &[&str]) -> StoredConfiguration {
    let route = |name: &&str| format!(r#"{{"Name":"{name}","PathPrefix":"/path-{name}/"}}"#);
    let routes: Vec<String> = names.iter().map(route).collect();
    let text = format!(
        r#"{{"Version":{version},"Routes":[{{}},{}]}}"#,
        routes.join(",")
    );
    stored(version, text.as_bytes())
}

fn stored(version: Version, text: &[u8]) -> StoredConfiguration {
    StoredConfiguration {
        version,
        text: text.into(),
    }
}

fn encoded_len(change: &ConfigurationDelta) -> usize {
    postcard::to_stdvec(change).unwrap().len()
}

#[test]
fn a_change_of_one_route_is_as_short_with_a_thousand_routes_as_with_250() {
    let change = |routes| {
        let older = with_routes(7, routes, 1_500);
        let newer = with_routes(8, routes, 900);
        ConfigurationDelta::between(&older, &newer).unwrap()
    };

    let (small, large) = (encoded_len(&change(250)), encoded_len(&change(1_000)));

    assert!(small < 256, "{small} bytes");
    assert!(large <= small + 8, "{large} bytes, {small} with 250 routes");
}

#[test]
fn routes_that_come_go_and_move_are_applied() {
    let older = of_routes(1, &["a", "b", "c", "d"]);
    let newer = of_routes(2, &["d", "e", "a", "a", "c"]);

    let change = ConfigurationDelta::between(&older, &newer).unwrap();

    assert_eq!(change.apply(&older), Some(newer));
    let new_bytes = change.pieces.iter().map(|piece| match piece {
        TextPiece::New(bytes) => bytes.len(),
        TextPiece::Kept { .. } => 0,
    });
    let one_route = of_routes(2, &["e"]).text.len();
    assert!(new_bytes.sum::<usize>() < 2 * one_route);
}

#[test]
fn a_change_fits_only_to_the_configuration_that_was_compared() {
    let (older, newer) = (with_routes(7, 50, 1_500), with_routes(9, 50, 900));
    let change = ConfigurationDelta::between(&older, &newer).unwrap();
    let other_version = with_routes(8, 50, 1_500);
    let other_text = with_routes(7, 49, 1_500);

    assert_eq!(change.apply(&older), Some(newer));
    assert_eq!(change.apply(&other_version), None);
    assert_eq!(change.apply(&other_text), None);
}

#[test]
fn a_piece_that_the_older_text_does_not_have_is_refused() {
    let older = stored(1, b"{a}");
    let change = ConfigurationDelta {
        base: 1,
        version: 2,
        pieces: vec![TextPiece::Kept {
            start: u32::MAX,
            len: u32::MAX,
        }],
        digest: [0; 16],
    };

    assert_eq!(change.apply(&older), None);
}

#[test]
fn a_process_that_is_far_behind_or_new_is_sent_the_whole_text() {
    let mut recent = RecentConfigurations::default();
    for version in 1..=20 {
        recent.record(&with_routes(version, 50, 100 * version));
    }

    let bases: Vec<Version> = (0..=20)
        .filter(|&known| recent.delta_since(known).is_some())
        .collect();

    assert_eq!(bases, (13..=20).collect::<Vec<_>>());
}

#[test]
fn what_has_changed_everywhere_is_sent_whole() {
    let mut recent = RecentConfigurations::default();
    recent.record(&stored(1, b"one text without sections"));
    recent.record(&stored(2, b"another one, and no longer"));

    assert_eq!(recent.delta_since(1), None);
}

/// A text of few letters, so that sections of two texts are often alike.
fn text() -> impl Strategy<Value = Vec<u8>> {
    let letter = prop::sample::select(b"ab}\n".to_vec());
    prop::collection::vec(letter, 0..200)
}

proptest! {
    #[test]
    fn a_change_gives_the_newer_text_to_the_byte(older in text(), newer in text()) {
        let (older, newer) = (stored(1, &older), stored(2, &newer));
        if let Some(change) = ConfigurationDelta::between(&older, &newer) {
            prop_assert_eq!(change.apply(&older), Some(newer));
        }
    }

    #[test]
    fn a_change_to_another_text_gives_the_newer_one_or_nothing(older in text(), newer in text(), other in text()) {
        prop_assume!(older != other);
        let newer = stored(2, &newer);
        if let Some(change) = ConfigurationDelta::between(&stored(1, &older), &newer) {
            let applied = change.apply(&stored(1, &other));
            prop_assert!(applied.is_none_or(|applied| applied == newer));
        }
    }
}
