//! The on-disk encoding of records.
//!
//! A record consists of its length and its CRC-32, each a little-endian `u32`, followed by its body in postcard format. Reading stops at
//! the first incomplete or corrupt record; the bytes from there on were never acknowledged.

use crate::records::{Record, RecoveredState};

/// Size of the length and checksum in front of each record.
const HEADER_BYTES: usize = 8;
/// Longest record that a reader accepts, four times the longest accepted configuration. A greater length is treated as corruption.
const MAX_RECORD_BYTES: usize = 64 * 1024 * 1024;

/// The result of reading the valid records of a file.
#[derive(Debug)]
pub(crate) struct ReadRecords {
    /// The state after applying all valid records.
    pub(crate) state: RecoveredState,
    /// Length of the valid records, in bytes.
    pub(crate) len: usize,
}

/// Appends an encoded record to `buf`.
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

/// Reads records up to the first that is corrupt or incomplete.
pub(crate) fn read_records(bytes: &[u8]) -> ReadRecords {
    let mut state = RecoveredState::default();
    let mut offset = 0;
    while let Some((record, len)) = read_record(&bytes[offset..]) {
        state.apply(record);
        offset += len;
    }
    ReadRecords { state, len: offset }
}

/// Reads one record and returns it with its total length, header included.
fn read_record(bytes: &[u8]) -> Option<(Record, usize)> {
    let len = u32::from_le_bytes(bytes.get(..4)?.try_into().ok()?) as usize;
    let checksum = u32::from_le_bytes(bytes.get(4..HEADER_BYTES)?.try_into().ok()?);
    if len == 0 || len > MAX_RECORD_BYTES {
        return None;
    }
    let body = bytes.get(HEADER_BYTES..HEADER_BYTES + len)?;
    if crc32fast::hash(body) != checksum {
        return None;
    }
    let record = postcard::from_bytes(body).ok()?;
    Some((record, HEADER_BYTES + len))
}
