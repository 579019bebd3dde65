//! `cloverfold hash-key`: hashes the key of a workspace for the cell's file.

use argh::FromArgs;
use cloverfold_claims_settings::hash_caller_key;
use eyre::Result;

/// Print the hash of a workspace's key, as the cell's file holds it.
#[derive(FromArgs)]
#[argh(subcommand, name = "hash-key")]
pub(crate) struct HashKeyCommand {
    /// the workspace's key
    #[argh(positional)]
    key: String,
}

impl HashKeyCommand {
    pub(crate) fn run(self) -> Result<()> {
        println!("{}", hash_caller_key(&self.key));
        Ok(())
    }
}
