//! What the control processes replicate, and the commands that change it.
//!
//! [`ReplicatedState`] is the state after all applied entries of the log: the configuration and the evacuations, each with its audit
//! trail, the waves of upkeep, and the groups that keep jobs. [`Command`] is what an entry holds. Both are stored so that older builds
//! read what they know:
//!
//! - a proposal of a configuration is stored as it always was; any other command begins with [`COMMAND_MARKER`], which no proposal
//!   begins with and no older build can decode;
//! - a state is that of the configuration, followed by that of the evacuations once there was an order, and by [`StateExtension`] once
//!   there is any of it. Builds before either pass over what follows what they know.

use cloverfold_configuration::{ConfigurationState, Proposal};
use cloverfold_evacuation::{EvacuationOrder, EvacuationState};
use cloverfold_kept_jobs::JobGroups;
use cloverfold_upkeep::{UpkeepCommand, UpkeepState};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// Begins every command but a proposal of a configuration. A proposal begins with its version as a variable-length integer, and ten
/// bytes of ones are none.
const COMMAND_MARKER: [u8; 10] = [0xff; 10];

/// What an entry of the log changes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// A configuration.
    Configuration(Proposal),
    /// The evacuation of a data hall, or its end.
    Evacuation(EvacuationOrder),
    /// A change of the waves of upkeep.
    Upkeep(UpkeepCommand),
    /// The groups that keep jobs; only the first one counts.
    JobGroups(JobGroups),
}

/// The commands behind the mark. The order of the variants is the format on disk.
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
    /// Returns the decoder's error if the bytes are no command.
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

/// What builds before kept jobs and upkeep do not know of the state. The order of the fields is the format on disk.
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
    /// The groups that keep jobs; `None` until they are agreed on.
    pub job_groups: Option<JobGroups>,
}

impl ReplicatedState {
    /// Decodes a state; no bytes at all are the state of a new installation.
    ///
    /// # Errors
    ///
    /// Returns the decoder's error if the bytes are no state.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        if bytes.is_empty() {
            return Ok(Self::default());
        }
        let (configuration, rest) = postcard::take_from_bytes(bytes)?;
        let (evacuations, rest) = take_or_default(rest)?;
        let (later, _): (StateExtension, _) = take_or_default(rest)?;
        Ok(Self {
            configuration,
            evacuations,
            upkeep: later.upkeep,
            job_groups: later.job_groups,
        })
    }

    /// Encodes the state.
    ///
    /// # Panics
    ///
    /// Never: every state can be encoded.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = self.configuration.encode();
        let later = StateExtension {
            upkeep: self.upkeep.clone(),
            job_groups: self.job_groups.clone(),
        };
        if later == StateExtension::default() {
            bytes.extend(self.evacuations.encode());
            return bytes;
        }
        // What follows them can be found only if the evacuations take bytes, also before the first order.
        let state = (&self.evacuations, later);
        postcard::to_extend(&state, bytes).expect("a state in memory can be encoded")
    }
}

/// Takes a part of a state off its bytes; no bytes are a part that there is nothing of yet.
fn take_or_default<T: Default + DeserializeOwned>(
    bytes: &[u8],
) -> Result<(T, &[u8]), postcard::Error> {
    if bytes.is_empty() {
        return Ok((T::default(), bytes));
    }
    postcard::take_from_bytes(bytes)
}
