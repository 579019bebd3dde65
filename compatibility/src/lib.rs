//! Recorded bytes of every message between processes and of every record on a control disk.
//!
//! Earlier builds wrote the files in `fixtures/`. The tests in `tests/` encode the same values with the current code and compare byte
//! for byte, then decode the files and compare the values. A changed file means that processes of two versions can no longer
//! communicate, or that stored data can no longer be read, so never record a file again; add new ones instead. The fixtures of the
//! platform's requests and responses are in `platform/fixtures`.
