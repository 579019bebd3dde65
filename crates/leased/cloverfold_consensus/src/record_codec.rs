//! The bytes of the records of a file.
//!
//! A record is its length and its CRC-32, each as four bytes in little-endian order, and its body in the postcard format. Bytes after
//! the last record that is complete and has the right checksum are ignored: they were never acknowledged.

use crate::records::{Record, RecoveredState};

/// Length and checksum before each record, in bytes.
const HEADER_LEN: usize = 8;
/// Longest record that is read, in bytes; a longer length counts as damage. Chosen, not measured: four times the longest
/// configuration that a control process accepts.
const MAX_RECORD_LEN: usize = 64 * 1024 * 1024;

/// The records that stand at the beginning of a file.
#[derive(Debug)]
pub(crate) struct ReadRecords {
    /// The state that they add up to.
    pub(crate) state: RecoveredState,
    /// Their length, in bytes.
    pub(crate) len: usize,
}

/// Appends a record to `buf`.
///
/// # Errors
///
/// Returns the encoder's error.
pub(crate) fn encode_record(record: &Record, buf: &mut Vec<u8>) -> Result<(), postcard::Error> {
    let body = postcard::to_stdvec(record)?;
    buf.extend_from_slice(&(body.len() as u32).to_le_bytes());
    buf.extend_from_slice(&crc32fast::hash(&body).to_le_bytes());
    buf.extend_from_slice(&body);
    Ok(())
}

/// Reads the records of a file up to the first that is damaged or incomplete.
pub(crate) fn read_records(bytes: &[u8]) -> ReadRecords {
    let mut state = RecoveredState::default();
    let mut offset = 0;
    while let Some((record, len)) = read_record(&bytes[offset..]) {
        state.apply(record);
        offset += len;
    }
    ReadRecords { state, len: offset }
}

/// Reads one record; returns it and its length with the header.
fn read_record(bytes: &[u8]) -> Option<(Record, usize)> {
    let len = u32::from_le_bytes(bytes.get(..4)?.try_into().ok()?) as usize;
    let checksum = u32::from_le_bytes(bytes.get(4..HEADER_LEN)?.try_into().ok()?);
    if len == 0 || len > MAX_RECORD_LEN {
        return None;
    }
    let body = bytes.get(HEADER_LEN..HEADER_LEN + len)?;
    if crc32fast::hash(body) != checksum {
        return None;
    }
    let record = postcard::from_bytes(body).ok()?;
    Some((record, HEADER_LEN + len))
}
