//! `cloverfold keys`: generates certificates and private keys for the processes of a claims installation.

use std::path::PathBuf;

use argh::FromArgs;
use cloverfold_net::{PeerRole, make_key_set};
use eyre::{Result, bail};

/// Generate certificates and private keys for the processes of a claims installation.
#[derive(FromArgs)]
#[argh(subcommand, name = "keys")]
pub(crate) struct KeysCommand {
    /// output folder; an existing authority in it is reused
    #[argh(option, default = "PathBuf::from(\"keys\")")]
    folder: PathBuf,
    /// names of the processes: guard-<id>, entry-<name>, operator-<name>
    #[argh(positional)]
    names: Vec<String>,
}

impl KeysCommand {
    pub(crate) fn run(self) -> Result<()> {
        if self.names.is_empty() {
            bail!("name at least one process, as in: cloverfold keys guard-1 entry-1 operator-1");
        }
        for name in &self.names {
            if PeerRole::from_name(name).is_none() {
                bail!("{name}: must begin with guard-, entry- or operator-");
            }
        }
        make_key_set(&self.folder, &self.names)?;
        println!(
            "{} has the keys; keep authority.key off the boxes",
            self.folder.display()
        );
        Ok(())
    }
}
