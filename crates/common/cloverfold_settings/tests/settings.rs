//! Errors in settings files are reported with file, line and field.

#![allow(clippy::unwrap_used)]

use std::path::Path;

use cloverfold_claims_settings::{
    CellSettings, EntrySettings, GuardSettings, WorkspaceSettings, hash_caller_key,
    verify_caller_key,
};
use cloverfold_leased_settings::{ControlSettings, LeasedEntrySettings, LeasedGuardSettings};
use cloverfold_settings::parse_settings;

const CELL: &str = include_str!("../../../../examples/settings/cell.jsonc");
const GUARD: &str = include_str!("../../../../examples/settings/guard.jsonc");
const LEASED_ENTRY: &str = include_str!("../../../../examples/settings/leased-entry.jsonc");
const LEASED_GUARD: &str = include_str!("../../../../examples/settings/leased-guard.jsonc");
const CONTROL: &str = include_str!("../../../../examples/settings/control.jsonc");
const ENTRY: &str = include_str!("../../../../examples/settings/entry.jsonc");

/// Returns the example with the first occurrence of a text replaced, and the line of that occurrence.
fn replace_text(example: &str, from: &str, to: &str) -> (String, usize) {
    let position = example.find(from).unwrap();
    let line = example[..position].matches('\n').count() + 1;
    (example.replacen(from, to, 1), line)
}

#[test]
fn the_examples_are_valid() {
    parse_settings::<CellSettings>(Path::new("cell.jsonc"), CELL).unwrap();
    parse_settings::<GuardSettings>(Path::new("guard.jsonc"), GUARD).unwrap();
    parse_settings::<EntrySettings>(Path::new("entry.jsonc"), ENTRY).unwrap();
    parse_settings::<LeasedEntrySettings>(Path::new("leased-entry.jsonc"), LEASED_ENTRY).unwrap();
    parse_settings::<LeasedGuardSettings>(Path::new("leased-guard.jsonc"), LEASED_GUARD).unwrap();
    parse_settings::<ControlSettings>(Path::new("control.jsonc"), CONTROL).unwrap();
}

#[test]
fn errors_in_leased_settings_name_the_field_and_valid_values() {
    let cases = [
        (
            r#""session_ms": 500"#,
            r#""session_ms": 900"#,
            "lease.session_ms: with lease_ms",
        ),
        (
            r#""lease_ms": 650"#,
            r#""lease_ms": 100"#,
            "lease.lease_ms: must be at least 200",
        ),
        (
            r#""port": 7400"#,
            r#""port": 0"#,
            "peer.port: must be above 0",
        ),
        (
            r#""metrics_port": 9464"#,
            r#""metrics_port": 7400"#,
            "peer.metrics_port: must differ",
        ),
        (
            r#""linger_ms": 2200"#,
            r#""linger_ms": 9000"#,
            "linger_ms: must be below drain_ms",
        ),
        (
            r#""name": "entry-1""#,
            r#""name": """#,
            "peer.name: must not be empty",
        ),
        (
            r#""ip": "127.0.0.11""#,
            r#""ip": "here""#,
            "peer.ip: invalid IP address",
        ),
    ];
    for (from, to, expected) in cases {
        let (text, line) = replace_text(LEASED_ENTRY, from, to);
        let file = Path::new("leased-entry.jsonc");
        let error = parse_settings::<LeasedEntrySettings>(file, &text)
            .unwrap_err()
            .to_string();
        let expected = format!("leased-entry.jsonc:{line}: {expected}");
        assert!(error.contains(&expected), "{error} lacks {expected}");
    }
    let (text, line) = replace_text(
        CONTROL,
        r#""tolerated_losses": 1"#,
        r#""tolerated_losses": 7"#,
    );
    let file = Path::new("control.jsonc");
    let error = parse_settings::<ControlSettings>(file, &text)
        .unwrap_err()
        .to_string();
    assert!(
        error.contains(&format!(
            "control.jsonc:{line}: tolerated_losses: must be at most 4"
        )),
        "{error}"
    );
}

#[test]
fn too_many_job_groups_are_rejected_and_the_default_is_one() {
    let (text, line) = replace_text(CONTROL, r#""job_groups": 1"#, r#""job_groups": 17"#);
    let file = Path::new("control.jsonc");
    let error = parse_settings::<ControlSettings>(file, &text)
        .unwrap_err()
        .to_string();
    let expected = format!("control.jsonc:{line}: job_groups: must be at most 16");
    assert!(error.contains(&expected), "{error}");

    let (text, _) = replace_text(CONTROL, r#""job_groups": 1,"#, "");
    let settings = parse_settings::<ControlSettings>(file, &text).unwrap();

    assert_eq!((settings.job_groups, settings.status_s), (1, 150));
}

#[test]
fn errors_in_guard_settings_are_located() {
    let cases = [
        ("\"id\": 1", "\"id\": \"one\"", "id: invalid type"),
        ("\"id\": 1", "\"id\": -1", "id: invalid value"),
        (
            "\"slots\": 8",
            "\"slots\": 0",
            "target.slots: must be at least 1",
        ),
        (
            "\"slots\": 8",
            "\"slots\": 65",
            "target.connections: must be at least",
        ),
        (
            "\"slots\": 8",
            "\"slotz\": 8",
            "target.slotz: unknown field",
        ),
        (
            "\"queue_limit\": 512",
            "\"queue_limit\": 0",
            "queue_limit: must be",
        ),
        (
            "\"127.0.0.1:7101\"",
            "\"somewhere\"",
            "peer_address: invalid socket",
        ),
        ("\"info\"", "\"loud\"", "log.level: unknown variant"),
    ];
    for (from, to, expected) in cases {
        let (text, _) = replace_text(GUARD, from, to);

        let rejected = parse_settings::<GuardSettings>(Path::new("guard.jsonc"), &text);

        let message = rejected.unwrap_err().to_string();
        assert!(message.contains(expected), "{message}");
        assert!(message.starts_with("guard.jsonc:"), "{message}");
    }
}

#[test]
fn an_error_reports_the_line_of_its_field() {
    let (text, line) = replace_text(GUARD, "\"slots\": 8", "\"slots\": 0");

    let rejected = parse_settings::<GuardSettings>(Path::new("guard.jsonc"), &text);

    let message = rejected.unwrap_err().to_string();
    assert!(
        message.starts_with(&format!("guard.jsonc:{line}: ")),
        "{message}"
    );
}

#[test]
fn all_invalid_values_of_a_cell_are_reported_at_once() {
    let text = CELL
        .replace("\"replicas\": 3", "\"replicas\": 2")
        .replace("\"id\": 2", "\"id\": 1")
        .replace("\"lead\": 1", "\"lead\": 9")
        .replace("\"weight\": 2.5", "\"weight\": -1");

    let rejected = parse_settings::<CellSettings>(Path::new("cell.jsonc"), &text);

    let message = rejected.unwrap_err().to_string();
    for expected in [
        "replicas:",
        "guards[1].id:",
        "lead:",
        "customers[1].weight:",
    ] {
        assert!(message.contains(expected), "{expected} in {message}");
    }
    assert_eq!(message.lines().count(), 4, "{message}");
}

#[test]
fn a_syntax_error_reports_its_line() {
    let (text, line) = replace_text(ENTRY, "\"name\": \"entry-1\",", "\"name\": ,");

    let rejected = parse_settings::<EntrySettings>(Path::new("entry.jsonc"), &text);

    let message = rejected.unwrap_err().to_string();
    assert!(
        message.starts_with(&format!("entry.jsonc:{line}:")),
        "{message}"
    );
}

#[test]
fn only_the_right_key_is_accepted() {
    let workspace = WorkspaceSettings {
        name: "pharmacy".into(),
        key_sha256: hash_caller_key("right"),
        weight: 1.0,
    };

    assert!(verify_caller_key(&workspace, "right"));
    assert!(!verify_caller_key(&workspace, "wrong"));
    assert!(!verify_caller_key(&workspace, ""));
}
