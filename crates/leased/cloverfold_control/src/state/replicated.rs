//! What the control processes replicate, and the commands that change it.
//!
//! [`ReplicatedState`] is the state after all applied entries of the log: the configuration and the evacuations, each with its audit
//! trail. [`Command`] is what an entry holds. Both are stored so that builds which know configurations alone read what they know:
//!
//! - a proposal of a configuration is stored as it always was; any other command begins with [`COMMAND_MARK`], which no proposal
//!   begins with and no older build can decode;
//! - a state is that of the configuration, followed by that of the evacuations once there was an order.

use cloverfold_configuration::{ConfigurationState, Proposal};
use cloverfold_evacuation::{EvacuationOrder, EvacuationState};
use serde::{Deserialize, Serialize};

/// Begins every command but a proposal of a configuration. A proposal begins with its version as a variable-length integer, and ten
/// bytes of ones are none.
const COMMAND_MARK: [u8; 10] = [0xff; 10];

/// What an entry of the log changes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// A configuration.
    Configuration(Proposal),
    /// The evacuation of a data hall, or its end.
    Evacuation(EvacuationOrder),
}

/// The commands behind the mark. The order of the variants is the format on disk.
#[derive(Serialize, Deserialize)]
enum MarkedCommand {
    Evacuation(EvacuationOrder),
}

impl Command {
    /// Encodes the command.
    ///
    /// # Errors
    ///
    /// Returns the encoder's error.
    pub fn encode(self) -> Result<Vec<u8>, postcard::Error> {
        match self {
            Self::Configuration(proposal) => postcard::to_stdvec(&proposal),
            Self::Evacuation(order) => {
                let command = MarkedCommand::Evacuation(order);
                postcard::to_extend(&command, COMMAND_MARK.to_vec())
            }
        }
    }

    /// Decodes a command.
    ///
    /// # Errors
    ///
    /// Returns the decoder's error if the bytes are no command.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        let Some(marked) = bytes.strip_prefix(&COMMAND_MARK) else {
            return postcard::from_bytes(bytes).map(Self::Configuration);
        };
        match postcard::from_bytes(marked)? {
            MarkedCommand::Evacuation(order) => Ok(Self::Evacuation(order)),
        }
    }
}

/// The state after all applied entries.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReplicatedState {
    /// The configuration in force and its audit trail.
    pub configuration: ConfigurationState,
    /// The evacuations in force and their audit trail.
    pub evacuations: EvacuationState,
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
        Ok(Self {
            configuration,
            evacuations: EvacuationState::decode(rest)?,
        })
    }

    /// Encodes the state.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = self.configuration.encode();
        bytes.extend(self.evacuations.encode());
        bytes
    }
}
