//! Generates the keys and settings files of a small claims installation in one folder.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use cloverfold_claims_settings::{CellSettings, hash_caller_key};
use cloverfold_load::CallerKey;
use cloverfold_net::make_key_set;
use cloverfold_settings::read_settings;
use serde_json::{Value, json};

use crate::error::SoloError;

/// Name of the only service of a generated installation.
pub const SERVICE: &str = "sample";
/// Name of the operator that gets a key.
pub const OPERATOR: &str = "operator-solo";

/// Number of data halls of the guards, one per replica of a claim.
const DATA_HALLS: usize = 3;
/// Number of boxes per rack of a data hall.
const BOXES_PER_RACK: usize = 3;
/// Number of guards that hold each claim, if there are enough.
const REPLICAS: usize = 3;

/// A workspace of an installation.
#[derive(Clone, Debug, PartialEq)]
pub struct SoloWorkspace {
    /// Name and key of the workspace.
    pub caller: CallerKey,
    /// Weight of the workspace.
    pub weight: f64,
}

impl SoloWorkspace {
    /// Creates a workspace of weight 1 with the key `<name>-key`.
    pub fn named(name: &str) -> Self {
        Self {
            caller: CallerKey {
                workspace: name.into(),
                key: format!("{name}-key"),
            },
            weight: 1.0,
        }
    }
}

/// The addresses of one guard and its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GuardAddresses {
    /// The address at which other processes reach the guard.
    pub public: SocketAddr,
    /// The address at which the guard listens for peers.
    pub peer: SocketAddr,
    /// The address at which the guard serves HTTP.
    pub http: SocketAddr,
    /// The address of the target.
    pub target: SocketAddr,
}

/// A folder with the keys and settings of an installation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Installation {
    folder: PathBuf,
}

impl Installation {
    /// Generates keys for the given numbers of guards and entries in a folder.
    ///
    /// # Errors
    ///
    /// Returns an error that names the file that could not be written.
    pub fn create(folder: &Path, guards: usize, entries: usize) -> Result<Self, SoloError> {
        let guards = (1..=guards).map(|id| format!("guard-{id}"));
        let entries = (1..=entries).map(|id| format!("entry-{id}"));
        let names: Vec<String> = guards.chain(entries).chain([OPERATOR.into()]).collect();
        let installation = Self {
            folder: folder.into(),
        };
        make_key_set(&installation.key_folder(), &names)?;
        Ok(installation)
    }

    /// Returns the folder with the keys.
    pub fn key_folder(&self) -> PathBuf {
        self.folder.join("keys")
    }

    /// Returns the path of the cell's settings file.
    pub fn cell_file(&self) -> PathBuf {
        self.folder.join("cell.jsonc")
    }

    /// Writes the cell's settings for guards at these public addresses; `extra` overrides fields.
    ///
    /// # Errors
    ///
    /// Returns the system's error, or an error if `extra` makes the settings invalid.
    pub fn write_cell(
        &self,
        guards: &[SocketAddr],
        workspaces: &[SoloWorkspace],
        extra: Value,
    ) -> Result<CellSettings, SoloError> {
        let describe_guard = |(index, address): (usize, &SocketAddr)| {
            json!({
                "id": index + 1,
                "hall": format!("hall-{}", index % DATA_HALLS + 1),
                "rack": format!("rack-{}", index / (DATA_HALLS * BOXES_PER_RACK) + 1),
                "address": address,
            })
        };
        let describe_workspace = |workspace: &SoloWorkspace| {
            json!({
                "name": workspace.caller.workspace,
                "key_sha256": hash_caller_key(&workspace.caller.key),
                "weight": workspace.weight,
            })
        };
        let cell = json!({
            "replicas": if guards.len() < REPLICAS { 1 } else { REPLICAS },
            "guards": guards.iter().enumerate().map(describe_guard).collect::<Vec<_>>(),
            "services": [{ "name": SERVICE }],
            "customers": workspaces.iter().map(describe_workspace).collect::<Vec<_>>(),
        });
        self.write_file("cell.jsonc", cell, extra)?;
        Ok(read_settings(&self.cell_file())?)
    }

    /// Writes a guard's settings; `extra` overrides fields.
    ///
    /// # Errors
    ///
    /// Returns the system's error.
    pub fn write_guard(
        &self,
        id: usize,
        addresses: &GuardAddresses,
        slots: usize,
        extra: Value,
    ) -> Result<PathBuf, SoloError> {
        let name = format!("guard-{id}");
        let settings = json!({
            "id": id,
            "cell": "cell.jsonc",
            "peer_address": addresses.peer,
            "http_address": addresses.http,
            "keys": key_settings(&name),
            "target": { "address": addresses.target, "slots": slots, "can_cancel": true },
        });
        self.write_file(&format!("{name}.jsonc"), settings, extra)
    }

    /// Writes an entry's settings; `extra` overrides fields.
    ///
    /// # Errors
    ///
    /// Returns the system's error.
    pub fn write_entry(
        &self,
        id: usize,
        http: SocketAddr,
        extra: Value,
    ) -> Result<PathBuf, SoloError> {
        let name = format!("entry-{id}");
        let settings = json!({
            "name": name,
            "cell": "cell.jsonc",
            "peer_address": "127.0.0.1:0",
            "http_address": http,
            "keys": key_settings(&name),
            "linger_ms": 0,
        });
        self.write_file(&format!("{name}.jsonc"), settings, extra)
    }

    fn write_file(
        &self,
        name: &str,
        mut settings: Value,
        extra: Value,
    ) -> Result<PathBuf, SoloError> {
        if let (Value::Object(settings), Value::Object(extra)) = (&mut settings, extra) {
            settings.extend(extra);
        }
        let file = self.folder.join(name);
        fs::write(&file, format!("{settings:#}\n"))?;
        Ok(file)
    }
}

fn key_settings(name: &str) -> Value {
    json!({
        "authority": "keys/authority.pem",
        "certificate": format!("keys/{name}.pem"),
        "private_key": format!("keys/{name}.key"),
    })
}
