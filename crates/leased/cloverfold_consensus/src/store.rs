//! The log file of a replica.
//!
//! [`Store`] appends records to the file and syncs them in order. Once the file has grown enough, the store rewrites it from the recovered
//! state, syncs the new file and renames it into place. Opening a file truncates a torn tail, which was never acknowledged.

use std::fs::{File, OpenOptions};
use std::io::{Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

use crate::record_codec::{ReadRecords, encode_record, read_records};
use crate::records::{Record, RecoveredState};

const LOG_FILE: &str = "replica.log";
const NEW_LOG_FILE: &str = "replica.log.new";
/// Minimum length of a file that is rewritten.
const MIN_REWRITE_BYTES: u64 = 4 * 1024 * 1024;
/// Growth factor since the last rewrite that triggers the next one.
const REWRITE_GROWTH: u64 = 4;

/// An error of a [`Store`].
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// An I/O operation failed.
    #[error("{path}: {cause}")]
    Io {
        /// The file or folder.
        path: PathBuf,
        /// The I/O error.
        cause: std::io::Error,
    },
    /// A record cannot be encoded.
    #[error("a record cannot be encoded: {0}")]
    Encode(#[from] postcard::Error),
}

/// The log file of one replica.
#[derive(Debug)]
pub struct Store {
    folder: PathBuf,
    file: File,
    /// Length of the synced records, in bytes.
    len: u64,
    /// Length of the file when it was opened or last rewritten.
    len_after_rewrite: u64,
    /// Whether a failed write may have left bytes beyond `len`.
    has_partial_write: bool,
    /// Whether the folder is not synced since the last rewrite, so that a power loss may bring back the earlier file.
    has_unsynced_rename: bool,
    state: RecoveredState,
}

impl Store {
    /// Opens or creates the store in a folder, and returns it with the recovered state.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Io`] if the file or the folder cannot be used.
    pub fn open(folder: &Path) -> Result<(Self, RecoveredState), StoreError> {
        let path = folder.join(LOG_FILE);
        let to_error = |cause| io_error(&path, cause);
        std::fs::create_dir_all(folder).map_err(to_error)?;
        let mut file = open_file(&path).map_err(to_error)?;
        let mut bytes = Vec::new();
        file.read_to_end(&mut bytes).map_err(to_error)?;
        let ReadRecords { state, len } = read_records(&bytes);
        if len < bytes.len() {
            log::warn!(
                file = path.display().to_string().as_str(), sound = len, found = bytes.len();
                "truncated a torn tail of the log file"
            );
        }
        truncate_file(&mut file, len as u64).map_err(to_error)?;
        file.sync_all().map_err(to_error)?;
        sync_folder(folder).map_err(to_error)?;
        let store = Self {
            folder: folder.into(),
            file,
            len: len as u64,
            len_after_rewrite: len as u64,
            has_partial_write: false,
            has_unsynced_rename: false,
            state: state.clone(),
        };
        Ok((store, state))
    }

    /// Appends records and syncs them.
    ///
    /// # Errors
    ///
    /// Returns an error if the records cannot be encoded, written or synced. The store is then unchanged, and the call can be retried.
    pub fn append(&mut self, records: &[Record]) -> Result<(), StoreError> {
        let mut buf = Vec::new();
        for record in records {
            encode_record(record, &mut buf)?;
        }
        self.write_and_sync(&buf)
            .map_err(|cause| io_error(&self.folder.join(LOG_FILE), cause))?;
        for record in records {
            self.state.apply(record.clone());
        }
        if self.len > MIN_REWRITE_BYTES.max(self.len_after_rewrite * REWRITE_GROWTH) {
            self.try_rewrite();
        }
        Ok(())
    }

    /// Rewrites the file. A failure loses nothing, since all records are already synced in the old file; the next attempt follows once
    /// that has grown by a third.
    fn try_rewrite(&mut self) {
        if let Err(cause) = self.rewrite() {
            log::warn!("cannot rewrite the log file, which keeps growing: {cause}");
            // Frees the space of the incomplete new file, which may not exist.
            let _ = std::fs::remove_file(self.folder.join(NEW_LOG_FILE));
            self.len_after_rewrite = self.len / (REWRITE_GROWTH - 1);
        }
    }

    fn write_and_sync(&mut self, buf: &[u8]) -> std::io::Result<()> {
        if self.has_partial_write {
            truncate_file(&mut self.file, self.len)?;
        }
        self.has_partial_write = true;
        self.sync_rename()?;
        self.file.write_all(buf)?;
        self.file.sync_data()?;
        self.has_partial_write = false;
        self.len += buf.len() as u64;
        Ok(())
    }

    /// Writes the state to a new file and renames it over the old one.
    fn rewrite(&mut self) -> Result<(), StoreError> {
        let mut buf = Vec::new();
        for record in self.state.to_records() {
            encode_record(&record, &mut buf)?;
        }
        let path = self.folder.join(NEW_LOG_FILE);
        let to_error = |cause| io_error(&path, cause);
        let mut file = File::create(&path).map_err(to_error)?;
        file.write_all(&buf).map_err(to_error)?;
        file.sync_all().map_err(to_error)?;
        std::fs::rename(&path, self.folder.join(LOG_FILE)).map_err(to_error)?;
        self.file = file;
        self.len = buf.len() as u64;
        self.len_after_rewrite = self.len;
        self.has_unsynced_rename = true;
        self.sync_rename().map_err(to_error)
    }

    /// Syncs the folder after a rename. This must precede the next append: only the new file gets later records.
    fn sync_rename(&mut self) -> std::io::Result<()> {
        if self.has_unsynced_rename {
            sync_folder(&self.folder)?;
            self.has_unsynced_rename = false;
        }
        Ok(())
    }
}

fn open_file(path: &Path) -> std::io::Result<File> {
    let mut options = OpenOptions::new();
    options.read(true).write(true).create(true).truncate(false);
    options.open(path)
}

fn io_error(path: &Path, cause: std::io::Error) -> StoreError {
    StoreError::Io {
        path: path.into(),
        cause,
    }
}

/// Truncates a file and moves the cursor to its end.
fn truncate_file(file: &mut File, len: u64) -> std::io::Result<()> {
    file.set_len(len)?;
    file.seek(SeekFrom::Start(len))?;
    Ok(())
}

fn sync_folder(folder: &Path) -> std::io::Result<()> {
    File::open(folder)?.sync_all()
}
