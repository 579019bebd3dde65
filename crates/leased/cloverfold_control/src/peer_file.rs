//! The file in which a control process stores the known entries and guards.
//!
//! A dedicated thread replaces the file `peers` in the data folder atomically, since a sync can block for seconds. The file only speeds up
//! the recovery after a restart, so read and write errors are logged and otherwise ignored.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::mpsc;
use std::thread;

use cloverfold_peer::StoredPeers;

const FILE_NAME: &str = "peers";
const NEW_FILE_NAME: &str = "peers.new";

/// Queues peers for the thread that writes the file.
#[derive(Debug)]
pub(crate) struct PeerFile {
    tx: mpsc::Sender<StoredPeers>,
}

impl PeerFile {
    /// Reads the stored peers from a data folder and starts the thread. A missing or unreadable file yields no peers.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread cannot be spawned.
    pub(crate) fn open(folder: &Path) -> io::Result<(Self, StoredPeers)> {
        let stored = read_peers(folder);
        let (tx, rx) = mpsc::channel();
        let folder = folder.to_owned();
        let builder = thread::Builder::new().name("peers".into());
        builder.spawn(move || write_newest(&folder, &rx))?;
        Ok((Self { tx }, stored))
    }

    /// Replaces the stored peers in the background.
    pub(crate) fn write(&self, peers: StoredPeers) {
        // The thread ends only when the process stops; nothing needs to be stored then.
        let _ = self.tx.send(peers);
    }
}

fn read_peers(folder: &Path) -> StoredPeers {
    let bytes = match fs::read(folder.join(FILE_NAME)) {
        Ok(bytes) => bytes,
        Err(cause) if cause.kind() == io::ErrorKind::NotFound => return StoredPeers::default(),
        Err(cause) => {
            log::warn!("cannot read the stored peers: {cause}");
            return StoredPeers::default();
        }
    };
    postcard::from_bytes(&bytes).unwrap_or_else(|cause| {
        log::warn!("cannot decode the stored peers: {cause}");
        StoredPeers::default()
    })
}

/// Writes until the process stops; skips all but the newest of the values that wait at the same time.
fn write_newest(folder: &Path, rx: &mpsc::Receiver<StoredPeers>) {
    while let Ok(mut peers) = rx.recv() {
        while let Ok(newer) = rx.try_recv() {
            peers = newer;
        }
        if let Err(cause) = replace_file(folder, &peers) {
            log::warn!("cannot store the connected peers: {cause}");
        }
    }
}

fn replace_file(folder: &Path, peers: &StoredPeers) -> io::Result<()> {
    let bytes = postcard::to_stdvec(peers).map_err(io::Error::other)?;
    let new: PathBuf = folder.join(NEW_FILE_NAME);
    let mut file = File::create(&new)?;
    file.write_all(&bytes)?;
    file.sync_all()?;
    fs::rename(&new, folder.join(FILE_NAME))?;
    File::open(folder)?.sync_all()
}
