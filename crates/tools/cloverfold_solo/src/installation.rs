//! The keys and settings files of a small claims installation in one folder.
//!
//! Owns the files. Relies on `cloverfold_net` for the keys and on the settings packages for the check.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use cloverfold_claims_settings::{CellSettings, hash_caller_key};
use cloverfold_load::CallerKey;
use cloverfold_net::make_key_set;
use cloverfold_settings::read_settings;
use serde_json::{Value, json};

use crate::error::SoloError;

/// Name of the one service of an installation made here.
pub const SERVICE: &str = "sample";
/// Name of the operator that its keys are made for.
pub const OPERATOR: &str = "operator-solo";

/// Data halls that the guards are spread over: as many as a claim has replicas.
const DATA_HALLS: usize = 3;
/// Boxes in one rack of a data hall. Chosen, not measured.
const BOXES_PER_RACK: usize = 3;
/// Guards that hold each claim where there are enough.
const REPLICAS: usize = 3;

/// A workspace of an installation.
#[derive(Clone, Debug, PartialEq)]
pub struct SoloWorkspace {
    /// Its name and key.
    pub caller: CallerKey,
    /// Its weight.
    pub weight: f64,
}

impl SoloWorkspace {
    /// Builds a workspace of weight 1 whose key is `<name>-key`.
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
    /// Where others reach it.
    pub public: SocketAddr,
    /// Where it listens for them.
    pub peer: SocketAddr,
    /// Where it serves HTTP.
    pub http: SocketAddr,
    /// Where its target is.
    pub target: SocketAddr,
}

/// A folder with the keys and settings of an installation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Installation {
    folder: PathBuf,
}

impl Installation {
    /// Makes keys for the numbers of guards and entries in a folder.
    ///
    /// # Errors
    ///
    /// Returns which file could not be written.
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

    /// Returns the cell's file.
    pub fn cell_file(&self) -> PathBuf {
        self.folder.join("cell.jsonc")
    }

    /// Writes the cell's file for guards at these public addresses; `extra` overrides fields.
    ///
    /// # Errors
    ///
    /// Returns the system's error, or the faults that `extra` causes.
    pub fn write_cell(
        &self,
        guards: &[SocketAddr],
        workspaces: &[SoloWorkspace],
        extra: Value,
    ) -> Result<CellSettings, SoloError> {
        let place = |(index, address): (usize, &SocketAddr)| {
            json!({
                "id": index + 1,
                "hall": format!("hall-{}", index % DATA_HALLS + 1),
                "rack": format!("rack-{}", index / (DATA_HALLS * BOXES_PER_RACK) + 1),
                "address": address,
            })
        };
        let workspace = |one: &SoloWorkspace| {
            json!({
                "name": one.caller.workspace,
                "key_sha256": hash_caller_key(&one.caller.key),
                "weight": one.weight,
            })
        };
        let cell = json!({
            "replicas": if guards.len() < REPLICAS { 1 } else { REPLICAS },
            "guards": guards.iter().enumerate().map(place).collect::<Vec<_>>(),
            "services": [{ "name": SERVICE }],
            "customers": workspaces.iter().map(workspace).collect::<Vec<_>>(),
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
