//! Tests of deltas: which processes receive one, and that applying it yields exactly the newer text or nothing.

#![allow(clippy::unwrap_used)]

use cloverfold_configuration::{
    ConfigurationDelta, RecentConfigurations, StoredConfiguration, TextPiece, Version,
};
use proptest::prelude::*;

/// Returns a configuration with the given number of routes and a time limit for the first route.
fn with_routes(version: Version, routes: usize, first_limit_ms: u64) -> StoredConfiguration {
    let route = |index: usize| {
        let limit = if index == 0 { first_limit_ms } else { 1_500 };
        format!(r#"{{"Name":"route-{index}","PathPrefix":"/path-{index}/","LimitMs":{limit}}}"#)
    };
    let routes: Vec<String> = (0..routes).map(route).collect();
    let text = format!(r#"{{"Version":{version},"Routes":[{}]}}"#, routes.join(","));
    stored(version, text.as_bytes())
}

/// Returns a configuration with routes of the given names.
fn with_named_routes(version: Version, names: &[&str]) -> StoredConfiguration {
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

fn encoded_len(delta: &ConfigurationDelta) -> usize {
    postcard::to_stdvec(delta).unwrap().len()
}

#[test]
fn the_size_of_a_delta_does_not_grow_with_the_number_of_routes() {
    let delta = |routes| {
        let older = with_routes(7, routes, 1_500);
        let newer = with_routes(8, routes, 900);
        ConfigurationDelta::between(&older, &newer).unwrap()
    };

    let (small, large) = (encoded_len(&delta(250)), encoded_len(&delta(1_000)));

    assert!(small < 256, "{small} bytes");
    assert!(large <= small + 8, "{large} bytes, {small} with 250 routes");
}

#[test]
fn added_removed_and_moved_routes_are_applied() {
    let older = with_named_routes(1, &["a", "b", "c", "d"]);
    let newer = with_named_routes(2, &["d", "e", "a", "a", "c"]);

    let delta = ConfigurationDelta::between(&older, &newer).unwrap();

    assert_eq!(delta.apply(&older), Some(newer));
    let new_bytes = delta.pieces.iter().map(|piece| match piece {
        TextPiece::New(bytes) => bytes.len(),
        TextPiece::Kept { .. } => 0,
    });
    let one_route = with_named_routes(2, &["e"]).text.len();
    assert!(new_bytes.sum::<usize>() < 2 * one_route);
}

#[test]
fn a_delta_applies_only_to_its_base_configuration() {
    let (older, newer) = (with_routes(7, 50, 1_500), with_routes(9, 50, 900));
    let delta = ConfigurationDelta::between(&older, &newer).unwrap();
    let other_version = with_routes(8, 50, 1_500);
    let other_text = with_routes(7, 49, 1_500);

    assert_eq!(delta.apply(&older), Some(newer));
    assert_eq!(delta.apply(&other_version), None);
    assert_eq!(delta.apply(&other_text), None);
}

#[test]
fn a_piece_outside_the_older_text_is_rejected() {
    let older = stored(1, b"{a}");
    let delta = ConfigurationDelta {
        base: 1,
        version: 2,
        pieces: vec![TextPiece::Kept {
            start: u32::MAX,
            len: u32::MAX,
        }],
        digest: [0; 16],
    };

    assert_eq!(delta.apply(&older), None);
}

#[test]
fn an_unknown_or_too_old_version_gets_the_whole_text() {
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
fn a_completely_different_text_is_sent_whole() {
    let mut recent = RecentConfigurations::default();
    recent.record(&stored(1, b"one text without sections"));
    recent.record(&stored(2, b"another one, and no longer"));

    assert_eq!(recent.delta_since(1), None);
}

/// Generates texts of few distinct letters, so that two texts often share sections.
fn text() -> impl Strategy<Value = Vec<u8>> {
    let letter = prop::sample::select(b"ab}\n".to_vec());
    prop::collection::vec(letter, 0..200)
}

proptest! {
    #[test]
    fn a_delta_yields_exactly_the_newer_text(older in text(), newer in text()) {
        let (older, newer) = (stored(1, &older), stored(2, &newer));
        if let Some(delta) = ConfigurationDelta::between(&older, &newer) {
            prop_assert_eq!(delta.apply(&older), Some(newer));
        }
    }

    #[test]
    fn a_delta_applied_to_another_text_yields_the_newer_one_or_nothing(older in text(), newer in text(), other in text()) {
        prop_assume!(older != other);
        let newer = stored(2, &newer);
        if let Some(delta) = ConfigurationDelta::between(&stored(1, &older), &newer) {
            let applied = delta.apply(&stored(1, &other));
            prop_assert!(applied.is_none_or(|applied| applied == newer));
        }
    }
}
