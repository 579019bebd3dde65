//! Reads and records fixture files.

#![allow(dead_code)]

use std::fmt::Debug;
use std::fs;
use std::path::PathBuf;

/// If this variable is set, a missing fixture file is written. An existing file is never changed.
const RECORD_VARIABLE: &str = "CLOVERFOLD_RECORD_FIXTURES";

/// Returns the path of a fixture, given its name relative to `fixtures/`.
pub fn fixture_path(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("fixtures")
        .join(name)
}

/// Reads a fixture. If the file is missing and recording is enabled, writes `bytes` to it first.
///
/// # Panics
///
/// If the file is missing and recording is disabled.
pub fn read_or_record(name: &str, bytes: &[u8]) -> Vec<u8> {
    let path = fixture_path(name);
    if !path.exists() && std::env::var_os(RECORD_VARIABLE).is_some() {
        fs::create_dir_all(path.parent().unwrap()).unwrap();
        fs::write(&path, bytes).unwrap();
    }
    fs::read(&path).unwrap_or_else(|cause| panic!("{}: {cause}", path.display()))
}

/// Asserts that the current code encodes a value to the recorded bytes.
pub fn assert_recorded(name: &str, bytes: &[u8]) {
    let recorded = read_or_record(name, bytes);
    assert_eq!(bytes, recorded, "{name}: the encoding has changed");
}

/// Asserts that a decoded value has the same `Debug` output as the recorded value, for types without `PartialEq`.
pub fn assert_same_debug<T: Debug>(name: &str, decoded: &T, expected: &T) {
    let (decoded, expected) = (format!("{decoded:?}"), format!("{expected:?}"));
    assert_eq!(decoded, expected, "{name}: the decoding has changed");
}
