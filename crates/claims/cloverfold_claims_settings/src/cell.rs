//! The settings that all processes of a cell share: guards, services and workspaces.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use cloverfold_claims_core::{Cell, Flow, GuardId, Location, PlacementPolicy};
use cloverfold_settings::{Validate, ValidationErrors, deserialize_millis};
use serde::Deserialize;
use sha2::{Digest as _, Sha256};
use subtle::ConstantTimeEq;

/// Length of a SHA-256 hash, in bytes.
const KEY_HASH_LEN: usize = 32;
/// Allowed sizes of a replica group; an even size tolerates no more losses than the next smaller odd one.
const ALLOWED_REPLICAS: [usize; 3] = [1, 3, 5];
/// Default size of a replica group, the smallest that tolerates the loss of one guard.
const DEFAULT_REPLICAS: usize = 3;
/// Default retention of keys and answers.
const DEFAULT_RETENTION: Duration = Duration::from_secs(600);
/// Shortest retention of keys.
const MIN_RETENTION: Duration = Duration::from_secs(1);
/// Weight of a workspace without one.
const DEFAULT_WEIGHT: f64 = 1.0;

/// Guards, services and workspaces of one cell.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CellSettings {
    /// How many guards replicate each claim: 1, 3 or 5.
    #[serde(default = "default_replicas")]
    pub replicas: usize,
    /// How long a key is kept after its first submission; `retention_ms` in the file.
    #[serde(
        rename = "retention_ms",
        default = "default_retention",
        deserialize_with = "deserialize_millis"
    )]
    pub retention: Duration,
    /// How long answers and results are kept; `answer_retention_ms` in the file.
    #[serde(
        rename = "answer_retention_ms",
        default = "default_retention",
        deserialize_with = "deserialize_millis"
    )]
    pub answer_retention: Duration,
    /// The guard that coordinates all jobs while it is available; the first guard by default.
    pub lead: Option<GuardId>,
    /// Whether one guard leads; without a lead, keys are spread over all guards.
    #[serde(default = "default_has_lead")]
    pub has_lead: bool,
    /// Policy that places tasks.
    #[serde(default)]
    pub placement: PlacementPolicy,
    /// Order of queued work.
    #[serde(default)]
    pub queueing: Queueing,
    /// The guards.
    pub guards: Vec<GuardPlace>,
    /// The services.
    pub services: Vec<ServiceSettings>,
    /// The workspaces; `customers` in the file.
    #[serde(rename = "customers")]
    pub workspaces: Vec<WorkspaceSettings>,
}

/// Order of queued work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Queueing {
    /// Weighted fair queueing by workspace.
    #[default]
    Fair,
    /// Order of arrival, as a baseline.
    Fifo,
}

/// Location and address of one guard.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GuardPlace {
    /// Number of the guard, unique in the cell; the name in its certificate is `guard-<id>`.
    pub id: GuardId,
    /// Name of the data hall; `hall` in the file.
    #[serde(rename = "hall")]
    pub data_hall: String,
    /// Name of the rack.
    pub rack: String,
    /// UDP address for other processes.
    pub address: SocketAddr,
}

/// A service that runs tasks.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSettings {
    /// Name of the service.
    pub name: String,
}

/// A workspace that may submit jobs.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkspaceSettings {
    /// Name of the workspace.
    pub name: String,
    /// SHA-256 of the workspace's key, in hexadecimal.
    pub key_sha256: String,
    /// Weight of the workspace in fair queueing.
    #[serde(default = "default_weight")]
    pub weight: f64,
}

fn default_replicas() -> usize {
    DEFAULT_REPLICAS
}

fn default_retention() -> Duration {
    DEFAULT_RETENTION
}

fn default_has_lead() -> bool {
    true
}

fn default_weight() -> f64 {
    DEFAULT_WEIGHT
}

impl CellSettings {
    /// Builds the [`Cell`] of these settings.
    pub fn build_cell(&self) -> Cell {
        let to_location = |guard: &GuardPlace| Location {
            guard: guard.id,
            data_hall: guard.data_hall.clone(),
            rack: guard.rack.clone(),
        };
        let cell = Cell::new(self.guards.iter().map(to_location).collect(), self.replicas);
        match self.find_lead() {
            Some(lead) => cell.with_lead(lead),
            None => cell,
        }
    }

    /// Returns the guard that coordinates all jobs while it is available, if the cell has one.
    pub fn find_lead(&self) -> Option<GuardId> {
        let first = self.guards.first().map(|guard| guard.id);
        self.lead.or(first).filter(|_| self.has_lead)
    }

    /// Returns the guards in the order in which they take over the lead; empty without a lead.
    pub fn list_lead_order(&self) -> Vec<GuardId> {
        let Some(lead) = self.find_lead() else {
            return Vec::new();
        };
        let others = self.guards.iter().map(|guard| guard.id);
        let others = others.filter(|guard| *guard != lead);
        std::iter::once(lead).chain(others).collect()
    }

    /// Returns the flow of a workspace's work at a service.
    pub fn flow_of(&self, service: &str, workspace: &str) -> Flow {
        match self.queueing {
            Queueing::Fair => Flow {
                service: service.into(),
                workspace: workspace.into(),
            },
            // A single flow is served in order of arrival.
            Queueing::Fifo => Flow {
                service: String::new(),
                workspace: String::new(),
            },
        }
    }

    /// Returns the weight of a workspace's flow.
    pub fn weight_of(&self, workspace: &str) -> f64 {
        match self.queueing {
            Queueing::Fair => self
                .find_workspace(workspace)
                .map_or(DEFAULT_WEIGHT, |workspace| workspace.weight),
            Queueing::Fifo => DEFAULT_WEIGHT,
        }
    }

    /// Returns the workspace of a name.
    pub fn find_workspace(&self, name: &str) -> Option<&WorkspaceSettings> {
        self.workspaces
            .iter()
            .find(|workspace| workspace.name == name)
    }

    /// Returns the service of a name.
    pub fn find_service(&self, name: &str) -> Option<&ServiceSettings> {
        self.services.iter().find(|service| service.name == name)
    }
}

impl Validate for CellSettings {
    fn validate(&self, errors: &mut ValidationErrors) {
        errors.add_if(
            !ALLOWED_REPLICAS.contains(&self.replicas),
            "replicas",
            "must be 1, 3 or 5",
        );
        errors.add_if(
            self.guards.len() < self.replicas,
            "guards",
            format!(
                "needs at least as many guards as replicas ({})",
                self.replicas
            ),
        );
        errors.add_if(
            self.retention < MIN_RETENTION,
            "retention_ms",
            "must be at least 1000",
        );
        errors.add_if(
            self.answer_retention > self.retention,
            "answer_retention_ms",
            "must not be over retention_ms",
        );
        let is_guard = |lead| self.guards.iter().any(|guard| guard.id == lead);
        errors.add_if(
            self.lead.is_some_and(|lead| !is_guard(lead)),
            "lead",
            "must be the id of one of the guards",
        );
        self.check_guards(errors);
        self.check_names(errors);
        for (index, workspace) in self.workspaces.iter().enumerate() {
            workspace.check(&format!("customers[{index}]"), errors);
        }
    }
}

impl CellSettings {
    fn check_guards(&self, errors: &mut ValidationErrors) {
        let mut ids = BTreeSet::new();
        let mut addresses = BTreeSet::new();
        for (index, guard) in self.guards.iter().enumerate() {
            let field = |name: &str| format!("guards[{index}].{name}");
            let is_duplicate = !ids.insert(guard.id);
            errors.add_if(is_duplicate, field("id"), "is used by another guard");
            let is_duplicate = !addresses.insert(guard.address);
            errors.add_if(is_duplicate, field("address"), "is used by another guard");
            errors.add_if(
                guard.data_hall.is_empty(),
                field("hall"),
                "must name a hall",
            );
            errors.add_if(guard.rack.is_empty(), field("rack"), "must name a rack");
        }
    }

    fn check_names(&self, errors: &mut ValidationErrors) {
        let mut names = BTreeSet::new();
        for (index, service) in self.services.iter().enumerate() {
            let is_invalid = service.name.is_empty() || !names.insert(service.name.as_str());
            let field = format!("services[{index}].name");
            errors.add_if(is_invalid, field, "must be unique and not empty");
        }
        let mut names = BTreeSet::new();
        for (index, workspace) in self.workspaces.iter().enumerate() {
            let is_invalid = workspace.name.is_empty() || !names.insert(workspace.name.as_str());
            let field = format!("customers[{index}].name");
            errors.add_if(is_invalid, field, "must be unique and not empty");
        }
    }
}

impl WorkspaceSettings {
    fn check(&self, field: &str, errors: &mut ValidationErrors) {
        errors.add_if(
            decode_key_hash(&self.key_sha256).is_none(),
            format!("{field}.key_sha256"),
            "must be 64 hexadecimal digits, as `cloverfold hash-key` prints them",
        );
        errors.add_if(
            !(self.weight.is_finite() && self.weight > 0.0),
            format!("{field}.weight"),
            "must be a number above 0",
        );
    }
}

/// Hashes a caller's key for [`WorkspaceSettings::key_sha256`].
pub fn hash_caller_key(key: &str) -> String {
    let hash = Sha256::digest(key.as_bytes());
    hash.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Returns whether a key belongs to the workspace, in constant time.
pub fn verify_caller_key(workspace: &WorkspaceSettings, key: &str) -> bool {
    let Some(expected) = decode_key_hash(&workspace.key_sha256) else {
        return false;
    };
    let given: [u8; KEY_HASH_LEN] = Sha256::digest(key.as_bytes()).into();
    expected.ct_eq(&given).into()
}

fn decode_key_hash(text: &str) -> Option<[u8; KEY_HASH_LEN]> {
    if text.len() != 2 * KEY_HASH_LEN || !text.is_ascii() {
        return None;
    }
    let mut hash = [0; KEY_HASH_LEN];
    for (index, byte) in hash.iter_mut().enumerate() {
        let digits = text.get(2 * index..2 * index + 2)?;
        *byte = u8::from_str_radix(digits, 16).ok()?;
    }
    Some(hash)
}
