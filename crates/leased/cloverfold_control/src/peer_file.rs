//! The file in which a control process remembers entries and guards.
//!
//! Owns the file `peers` in the data folder and the thread that writes it: a sync may hang for seconds. The file is replaced as a whole:
//! written beside, synced, renamed, and its folder synced. What is lost with it is only the speed of the next recovery, so that a file
//! that cannot be read or written is logged and passed over.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::mpsc;
use std::thread;

use cloverfold_peer::StoredPeers;

const FILE_NAME: &str = "peers";
const NEW_FILE_NAME: &str = "peers.new";

/// Hands what is to be remembered to the thread that writes it.
#[derive(Debug)]
pub(crate) struct PeerFile {
    tx: mpsc::Sender<StoredPeers>,
}

impl PeerFile {
    /// Reads what was remembered in a data folder, nothing if there is none, and starts the thread.
    ///
    /// # Errors
    ///
    /// Returns the system's error if it gives no thread.
    pub(crate) fn open(folder: &Path) -> io::Result<(Self, StoredPeers)> {
        let remembered = read_peers(folder);
        let (tx, rx) = mpsc::channel();
        let folder = folder.to_owned();
        let builder = thread::Builder::new().name("peers".into());
        builder.spawn(move || write_newest(&folder, &rx))?;
        Ok((Self { tx }, remembered))
    }

    /// Remembers these processes from now on.
    pub(crate) fn write(&self, peers: StoredPeers) {
        // The thread ends only when the process stops, and then nothing needs to be remembered.
        let _ = self.tx.send(peers);
    }
}

fn read_peers(folder: &Path) -> StoredPeers {
    let bytes = match fs::read(folder.join(FILE_NAME)) {
        Ok(bytes) => bytes,
        Err(cause) if cause.kind() == io::ErrorKind::NotFound => return StoredPeers::default(),
        Err(cause) => {
            log::warn!("the remembered processes cannot be read: {cause}");
            return StoredPeers::default();
        }
    };
    postcard::from_bytes(&bytes).unwrap_or_else(|cause| {
        log::warn!("the remembered processes cannot be decoded: {cause}");
        StoredPeers::default()
    })
}

/// Writes until the process stops; of all that wait at once only the newest.
fn write_newest(folder: &Path, rx: &mpsc::Receiver<StoredPeers>) {
    while let Ok(mut peers) = rx.recv() {
        while let Ok(newer) = rx.try_recv() {
            peers = newer;
        }
        if let Err(cause) = replace_file(folder, &peers) {
            log::warn!("the connected processes are not remembered: {cause}");
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
