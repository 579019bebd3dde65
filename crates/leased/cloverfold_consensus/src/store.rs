//! Records of a replica on disk.
//!
//! One file holds records, each with its length and checksum, in order. A file that has become long is written anew from the
//! last snapshot on, synced, and renamed into place. A torn or missing tail was never acknowledged and is cut off.

use std::fs::{File, OpenOptions};
use std::io::{Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};

use crate::log_entries::{Entry, LogIndex, Snapshot, Term};
use crate::members::ReplicaId;

const LOG_FILE: &str = "replica.log";
const NEW_LOG_FILE: &str = "replica.log.new";
/// Length and checksum before each record, in bytes.
const HEADER_LEN: usize = 8;
/// Longest record that is believed, in bytes.
const MAX_RECORD_LEN: usize = 64 * 1024 * 1024;
/// A file shorter than this is never written anew.
const MIN_REWRITE_LEN: u64 = 4 * 1024 * 1024;

/// One thing that must not be forgotten.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// The identity that was drawn for this disk, and whether it may found a group.
    Identity {
        /// The identity.
        id: ReplicaId,
        /// Whether it started when the whole installation did.
        may_found: bool,
    },
    /// The term, and who got the vote in it.
    HardState {
        /// The term.
        term: Term,
        /// The vote.
        voted_for: Option<ReplicaId>,
    },
    /// An entry of the log.
    Entry(Entry),
    /// The log from here on is void.
    Truncate {
        /// First void place.
        from: LogIndex,
    },
    /// All up to here is committed. Nobody waits for this record: after a restart it only tells early what a leader will tell.
    Commit {
        /// The place.
        index: LogIndex,
    },
    /// The state that stands for all entries up to its place; everything held of the log before is void.
    Snapshot(Snapshot),
}

/// What a store held when it was opened.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecoveredState {
    /// The identity of the disk, if it was ever used.
    pub identity: Option<(ReplicaId, bool)>,
    /// The term.
    pub term: Term,
    /// The vote in it.
    pub voted_for: Option<ReplicaId>,
    /// A place up to which all is committed; there may be more.
    pub commit: LogIndex,
    /// The last snapshot.
    pub snapshot: Snapshot,
    /// The entries after it.
    pub entries: Vec<Entry>,
}

impl RecoveredState {
    fn take(&mut self, record: Record) {
        match record {
            Record::Identity { id, may_found } => self.identity = Some((id, may_found)),
            Record::HardState { term, voted_for } => {
                self.term = term;
                self.voted_for = voted_for;
            }
            Record::Entry(entry) => {
                self.entries.retain(|held| held.index < entry.index);
                self.entries.push(entry);
            }
            Record::Truncate { from } => self.entries.retain(|held| held.index < from),
            Record::Commit { index } => self.commit = self.commit.max(index),
            Record::Snapshot(snapshot) => {
                self.entries.clear();
                self.snapshot = snapshot;
            }
        }
    }

    fn to_records(&self) -> Vec<Record> {
        let mut records = Vec::new();
        if let Some((id, may_found)) = self.identity {
            records.push(Record::Identity { id, may_found });
        }
        records.push(Record::HardState {
            term: self.term,
            voted_for: self.voted_for,
        });
        if self.snapshot.index > 0 {
            records.push(Record::Snapshot(self.snapshot.clone()));
        }
        records.extend(self.entries.iter().cloned().map(Record::Entry));
        records.push(Record::Commit { index: self.commit });
        records
    }
}

/// Why a store cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The system refuses something.
    #[error("{path}: {cause}")]
    System {
        /// The file or folder.
        path: PathBuf,
        /// The system's error.
        cause: std::io::Error,
    },
    /// A record cannot be encoded.
    #[error("a record cannot be encoded: {0}")]
    Encode(#[from] postcard::Error),
}

/// The file of one replica.
#[derive(Debug)]
pub struct Store {
    folder: PathBuf,
    file: File,
    len: u64,
    rewritten_len: u64,
    /// Whether bytes beyond `len` may stand in the file, from a write that failed.
    has_failed: bool,
    state: RecoveredState,
}

impl Store {
    /// Opens or begins the store in a folder.
    ///
    /// # Errors
    ///
    /// Says which file or folder cannot be used.
    pub fn open(folder: &Path) -> Result<(Self, RecoveredState), StoreError> {
        let path = folder.join(LOG_FILE);
        let system = |cause| StoreError::System {
            path: path.clone(),
            cause,
        };
        std::fs::create_dir_all(folder).map_err(system)?;
        let mut options = OpenOptions::new();
        options.read(true).write(true).create(true).truncate(false);
        let mut file = options.open(&path).map_err(system)?;
        let mut bytes = Vec::new();
        file.read_to_end(&mut bytes).map_err(system)?;
        let (state, sound_len) = read_records(&bytes);
        if sound_len < bytes.len() {
            log::warn!(
                file = path.display().to_string().as_str(), sound = sound_len, found = bytes.len();
                "a torn tail is cut off"
            );
        }
        cut_off(&mut file, sound_len as u64).map_err(system)?;
        file.sync_all().map_err(system)?;
        sync_folder(folder).map_err(system)?;
        let store = Self {
            folder: folder.into(),
            file,
            len: sound_len as u64,
            rewritten_len: sound_len as u64,
            has_failed: false,
            state: state.clone(),
        };
        Ok((store, state))
    }

    /// Appends records and syncs them.
    ///
    /// After an error nothing of them counts; the same call may be tried again.
    ///
    /// # Errors
    ///
    /// Says that the disk refuses them.
    pub fn append(&mut self, records: &[Record]) -> Result<(), StoreError> {
        let mut buf = Vec::new();
        for record in records {
            encode_record(record, &mut buf)?;
        }
        let path = self.folder.join(LOG_FILE);
        let system = |cause| StoreError::System {
            path: path.clone(),
            cause,
        };
        if self.has_failed {
            cut_off(&mut self.file, self.len).map_err(&system)?;
        }
        self.has_failed = true;
        self.file.write_all(&buf).map_err(&system)?;
        self.file.sync_data().map_err(&system)?;
        self.has_failed = false;
        self.len += buf.len() as u64;
        for record in records {
            self.state.take(record.clone());
        }
        if self.len > MIN_REWRITE_LEN.max(self.rewritten_len * 4) {
            self.rewrite()?;
        }
        Ok(())
    }

    /// Writes the state into a new file and puts it in the old one's place.
    fn rewrite(&mut self) -> Result<(), StoreError> {
        let mut buf = Vec::new();
        for record in self.state.to_records() {
            encode_record(&record, &mut buf)?;
        }
        let path = self.folder.join(NEW_LOG_FILE);
        let system = |cause| StoreError::System {
            path: path.clone(),
            cause,
        };
        let mut file = File::create(&path).map_err(system)?;
        file.write_all(&buf).map_err(system)?;
        file.sync_all().map_err(system)?;
        std::fs::rename(&path, self.folder.join(LOG_FILE)).map_err(system)?;
        sync_folder(&self.folder).map_err(system)?;
        self.file = file;
        self.len = buf.len() as u64;
        self.rewritten_len = self.len;
        Ok(())
    }
}

fn cut_off(file: &mut File, len: u64) -> std::io::Result<()> {
    file.set_len(len)?;
    file.seek(SeekFrom::Start(len))?;
    Ok(())
}

fn sync_folder(folder: &Path) -> std::io::Result<()> {
    File::open(folder)?.sync_all()
}

fn encode_record(record: &Record, out: &mut Vec<u8>) -> Result<(), StoreError> {
    let body = postcard::to_stdvec(record)?;
    out.extend_from_slice(&(body.len() as u32).to_le_bytes());
    out.extend_from_slice(&crc32fast::hash(&body).to_le_bytes());
    out.extend_from_slice(&body);
    Ok(())
}

/// Reads whole records; returns the state after them and how many bytes they take.
fn read_records(bytes: &[u8]) -> (RecoveredState, usize) {
    let mut state = RecoveredState::default();
    let mut place = 0;
    while let Some((record, len)) = read_record(&bytes[place..]) {
        state.take(record);
        place += len;
    }
    (state, place)
}

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
