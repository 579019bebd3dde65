//! Validation of orders for waves.
//!
//! An order must have a number above 0, a span above 0 and a limit of at least one box down at once. It must name 1 to [`MAX_BOXES`] boxes.
//! Each name has 1 to [`MAX_NAME_BYTES`] bytes without control characters, and all names together have at most [`MAX_NAMES_BYTES`].
//! All errors are reported together. The control process checks whether the boxes exist, since it can read the list.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::wave::{BoxName, WaveNumber};

/// Maximum number of boxes in a wave; bounds the size of a log message.
pub const MAX_BOXES: usize = 20_000;
/// Maximum length of a box name, in bytes.
pub const MAX_NAME_BYTES: usize = 128;

/// Maximum total length of a wave's box names, in bytes. A wave stores each name up to twice, and a snapshot with it must fit into one
/// message.
pub const MAX_NAMES_BYTES: usize = 256 * 1024;

/// An operator's request for a wave.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaveRequest {
    /// Number of the wave.
    pub wave: WaveNumber,
    /// The boxes.
    pub boxes: BTreeSet<BoxName>,
    /// Time within which the upkeep of all boxes must begin.
    pub span: Duration,
    /// How many boxes may be down at once.
    pub most_down: u32,
}

/// The reason why an order for a wave is refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WaveRequestError {
    /// The order cannot be decoded.
    #[error("{field}: {cause}")]
    Unreadable {
        /// Path to the field.
        field: String,
        /// The decoding error.
        cause: String,
    },
    /// The wave number is 0.
    #[error("the number of a wave is above 0")]
    NoNumber,
    /// The order names no box.
    #[error("a wave names at least one box")]
    NoBoxes,
    /// The order names too many boxes.
    #[error("a wave names at most {MAX_BOXES} boxes, not {0}")]
    TooManyBoxes(usize),
    /// A box name is not well-formed.
    #[error("a box's name has 1 to {MAX_NAME_BYTES} bytes and no control characters")]
    MalformedName,
    /// The box names are too long in total.
    #[error("the names of a wave's boxes have at most {MAX_NAMES_BYTES} bytes together, not {0}")]
    NamesTooLong(usize),
    /// The span is zero.
    #[error("the span of a wave is above 0")]
    NoSpan,
    /// The order allows no box to be down.
    #[error("at least one box must be allowed down at once")]
    NoneDown,
    /// A box does not exist in the installation.
    #[error("no box {0} in this installation")]
    UnknownBox(BoxName),
    /// A different order has the same number.
    #[error("wave {0} was ordered with other content")]
    Conflicting(WaveNumber),
    /// The settings contain no address of the platform's interface.
    #[error("no upkeep here: the settings of the control process have no upkeep.address")]
    NotServed,
}

impl WaveRequest {
    /// Returns every error in the request.
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
                WaveRequestError::NamesTooLong(names_bytes),
            ),
            (self.span.is_zero(), WaveRequestError::NoSpan),
            (self.most_down == 0, WaveRequestError::NoneDown),
        ];
        let errors = checks.into_iter().filter(|(is_error, _)| *is_error);
        errors.map(|(_, error)| error).collect()
    }
}

/// The operators' format of orders for waves and of their state.
pub trait WaveFormat: Send + Sync {
    /// Decodes a request.
    ///
    /// # Errors
    ///
    /// Returns an error with the field that cannot be decoded.
    fn decode_wave(&self, text: &[u8]) -> Result<WaveRequest, WaveRequestError>;

    /// Encodes whether a wave is completed.
    fn write_wave_state(&self, is_completed: bool) -> String;
}
