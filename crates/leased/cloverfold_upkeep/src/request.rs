//! Decision: which orders of a wave are accepted.
//!
//! Rule: a number above 0; at least one box and at most [`MAX_BOXES`], each with a name of 1 to [`MAX_NAME_BYTES`] bytes without control
//! characters, [`MAX_NAMES_BYTES`] together; a span above 0; at least one box down at once. Every fault is named. Whether the boxes exist is checked by the control
//! process, where the list of boxes can be read. Inputs: the order. Reason: an order that cannot be carried out must not be taken.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::wave::{BoxName, WaveNumber};

/// Most boxes of one wave. Guards the size of a message of the log. Chosen, not measured.
pub const MAX_BOXES: usize = 20_000;
/// Longest name of a box, in bytes. Chosen, not measured.
pub const MAX_NAME_BYTES: usize = 128;

/// Longest all names together, in bytes: a wave keeps each name up to twice, and a snapshot with it must fit into one message. Chosen, not
/// measured.
pub const MAX_NAMES_BYTES: usize = 256 * 1024;

/// What an operator asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaveRequest {
    /// The operator's number of the wave.
    pub wave: WaveNumber,
    /// The boxes.
    pub boxes: BTreeSet<BoxName>,
    /// Within which span all of them are to begin.
    pub span: Duration,
    /// How many of them may be down at once.
    pub most_down: u32,
}

/// Why an order of a wave is refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WaveRequestError {
    /// It cannot be read.
    #[error("{field}: {cause}")]
    Unreadable {
        /// Path to the field.
        field: String,
        /// What is wrong with it.
        cause: String,
    },
    /// Its number names no wave.
    #[error("the number of a wave is above 0")]
    NoNumber,
    /// It names no box.
    #[error("a wave names at least one box")]
    NoBoxes,
    /// It names too many boxes.
    #[error("a wave names at most {MAX_BOXES} boxes, not {0}")]
    TooManyBoxes(usize),
    /// A name can name no box.
    #[error("a box's name has 1 to {MAX_NAME_BYTES} bytes and no control characters")]
    MalformedName,
    /// Its names are too long together.
    #[error("the names of a wave's boxes have at most {MAX_NAMES_BYTES} bytes together, not {0}")]
    TooLongNames(usize),
    /// It leaves no time.
    #[error("the span of a wave is above 0")]
    NoSpan,
    /// It lets no box go down.
    #[error("at least one box must be allowed down at once")]
    NoneDown,
    /// The installation has no such box.
    #[error("no box {0} in this installation")]
    UnknownBox(BoxName),
    /// Another order has its number.
    #[error("wave {0} was ordered with other content")]
    Conflicting(WaveNumber),
    /// The settings name no interface of the platform.
    #[error("no upkeep here: the settings of the control process have no upkeep.address")]
    NotServed,
}

impl WaveRequest {
    /// Returns every fault of the request.
    pub fn validate(&self) -> Vec<WaveRequestError> {
        let is_malformed = |name: &BoxName| {
            !(1..=MAX_NAME_BYTES).contains(&name.len()) || name.chars().any(char::is_control)
        };
        let names_bytes = self.boxes.iter().map(String::len).sum();
        let checks = [
            (self.wave == 0, WaveRequestError::NoNumber),
            (self.boxes.is_empty(), WaveRequestError::NoBoxes),
            (
                self.boxes.len() > MAX_BOXES,
                WaveRequestError::TooManyBoxes(self.boxes.len()),
            ),
            (
                self.boxes.iter().any(is_malformed),
                WaveRequestError::MalformedName,
            ),
            (
                names_bytes > MAX_NAMES_BYTES,
                WaveRequestError::TooLongNames(names_bytes),
            ),
            (self.span.is_zero(), WaveRequestError::NoSpan),
            (self.most_down == 0, WaveRequestError::NoneDown),
        ];
        let faults = checks.into_iter().filter(|(is_fault, _)| *is_fault);
        faults.map(|(_, fault)| fault).collect()
    }
}

/// How operators write an order of a wave, and how they are told how far it is.
pub trait WaveFormat: Send + Sync {
    /// Decodes an order.
    ///
    /// # Errors
    ///
    /// Returns the field that cannot be read.
    fn decode_wave(&self, text: &[u8]) -> Result<WaveRequest, WaveRequestError>;

    /// Writes whether a wave is completed.
    fn write_wave_state(&self, is_completed: bool) -> String;
}
