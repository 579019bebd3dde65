//! Recorded bytes of every message between processes and of every record on a control disk.
//!
//! The files in `fixtures/` were written by the build of 552b414. The tests in `tests/` encode the same values with the present
//! code and compare byte for byte, and decode the files and compare the values. A changed file means that processes of two versions
//! can no longer talk to each other, or that stored data can no longer be read: never record a file again, add new ones. The calls and
//! answers of the platform have their fixtures in `platform/fixtures`.
