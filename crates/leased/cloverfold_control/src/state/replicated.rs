//! The replicated state of the control processes and the commands that change it.
//!
//! [`ReplicatedState`] is the state after all applied log entries, and [`Command`] is the content of an entry. Both encodings stay
//! compatible with older builds:
//!
//! - A proposed configuration keeps its original encoding. Any other command starts with [`COMMAND_MARKER`], which no proposal starts with
//!   and no older build can decode.
//! - The state consists of the configuration, followed by the evacuations once there was an order, and by a [`StateExtension`] unless that
//!   is empty. Older builds ignore trailing bytes.

use cloverfold_configuration::{ConfigurationState, Proposal};
use cloverfold_evacuation::{EvacuationOrder, EvacuationState};
use cloverfold_kept_jobs::JobGroups;
use cloverfold_upkeep::{UpkeepCommand, UpkeepState};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// Prefix of every command except a proposed configuration. A proposal starts with its version as a variable-length integer, which cannot
/// consist of ten `0xff` bytes.
const COMMAND_MARKER: [u8; 10] = [0xff; 10];

/// A command in a log entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Proposes a configuration.
    Configuration(Proposal),
    /// Starts or ends the evacuation of a data hall.
    Evacuation(EvacuationOrder),
    /// Changes the waves of upkeep.
    Upkeep(UpkeepCommand),
    /// Defines the groups that keep jobs; only the first such command counts.
    JobGroups(JobGroups),
}

/// The commands that follow the marker. The order of the variants is the format on disk.
#[derive(Serialize, Deserialize)]
enum MarkedCommand {
    Evacuation(EvacuationOrder),
    Upkeep(UpkeepCommand),
    JobGroups(JobGroups),
}

impl Command {
    /// Encodes the command.
    ///
    /// # Errors
    ///
    /// Returns the encoder's error.
    pub fn encode(self) -> Result<Vec<u8>, postcard::Error> {
        let marked = match self {
            Self::Configuration(proposal) => return postcard::to_stdvec(&proposal),
            Self::Evacuation(order) => MarkedCommand::Evacuation(order),
            Self::Upkeep(command) => MarkedCommand::Upkeep(command),
            Self::JobGroups(groups) => MarkedCommand::JobGroups(groups),
        };
        postcard::to_extend(&marked, COMMAND_MARKER.to_vec())
    }

    /// Decodes a command.
    ///
    /// # Errors
    ///
    /// Returns the decoder's error if the bytes are not a valid command.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        let Some(marked) = bytes.strip_prefix(&COMMAND_MARKER) else {
            return postcard::from_bytes(bytes).map(Self::Configuration);
        };
        match postcard::from_bytes(marked)? {
            MarkedCommand::Evacuation(order) => Ok(Self::Evacuation(order)),
            MarkedCommand::Upkeep(command) => Ok(Self::Upkeep(command)),
            MarkedCommand::JobGroups(groups) => Ok(Self::JobGroups(groups)),
        }
    }
}

/// The part of the state that was added with upkeep and kept jobs. The order of the fields is the format on disk.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct StateExtension {
    upkeep: UpkeepState,
    job_groups: Option<JobGroups>,
}

/// The state after all applied entries.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReplicatedState {
    /// The configuration in force and its audit trail.
    pub configuration: ConfigurationState,
    /// The evacuations in force and their audit trail.
    pub evacuations: EvacuationState,
    /// The waves of upkeep.
    pub upkeep: UpkeepState,
    /// The groups that keep jobs; `None` until they are defined.
    pub job_groups: Option<JobGroups>,
}

impl ReplicatedState {
    /// Decodes a state. Empty input yields the state of a new installation.
    ///
    /// # Errors
    ///
    /// Returns the decoder's error if the bytes are not a valid state.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        if bytes.is_empty() {
            return Ok(Self::default());
        }
        let (configuration, rest) = postcard::take_from_bytes(bytes)?;
        let (evacuations, rest) = decode_or_default(rest)?;
        let (extension, _): (StateExtension, _) = decode_or_default(rest)?;
        Ok(Self {
            configuration,
            evacuations,
            upkeep: extension.upkeep,
            job_groups: extension.job_groups,
        })
    }

    /// Encodes the state.
    ///
    /// # Panics
    ///
    /// Does not panic in practice, since every state can be encoded.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = self.configuration.encode();
        let extension = StateExtension {
            upkeep: self.upkeep.clone(),
            job_groups: self.job_groups.clone(),
        };
        if extension == StateExtension::default() {
            bytes.extend(self.evacuations.encode());
            return bytes;
        }
        // The extension can be located only if the evacuations are encoded, even before the first order.
        let state = (&self.evacuations, extension);
        postcard::to_extend(&state, bytes).expect("a state in memory can be encoded")
    }
}

/// Decodes the next part of a state and returns the remaining bytes. Empty input yields the default value.
fn decode_or_default<T: Default + DeserializeOwned>(
    bytes: &[u8],
) -> Result<(T, &[u8]), postcard::Error> {
    if bytes.is_empty() {
        return Ok((T::default(), bytes));
    }
    postcard::take_from_bytes(bytes)
}
