//! Decision: which names of data halls an operator may use.
//!
//! Rule: 1 to [`MAX_NAME_BYTES`] ASCII letters, digits, dots, hyphens and underscores; and one of the halls that the settings name, if
//! they name any. Inputs: the name, the settings. Reason: an order for a hall that does not exist would be acknowledged and evacuate
//! nothing.

use std::collections::BTreeSet;

use crate::evacuated_halls::DataHall;

/// Longest name of a data hall, in bytes. Chosen, not measured.
const MAX_NAME_BYTES: usize = 128;

/// Why a name cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HallNameError {
    /// It can name no data hall.
    #[error(
        "a data hall's name has 1 to {MAX_NAME_BYTES} letters, digits, dots, hyphens or underscores"
    )]
    Malformed,
    /// The installation has no such hall.
    #[error("no data hall {name} in this installation; it has: {known}")]
    Unknown {
        /// The name.
        name: DataHall,
        /// The halls that there are, separated by commas.
        known: String,
    },
}

/// The data halls of an installation; if none are named, every well-formed name is taken for one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HallNames {
    known: BTreeSet<DataHall>,
}

impl HallNames {
    /// Returns the names in the settings.
    pub fn new(known: impl IntoIterator<Item = DataHall>) -> Self {
        Self {
            known: known.into_iter().collect(),
        }
    }

    /// Checks a name that an operator uses.
    ///
    /// # Errors
    ///
    /// Returns why it cannot be used.
    pub fn check(&self, name: &str) -> Result<(), HallNameError> {
        if !is_well_formed(name) {
            return Err(HallNameError::Malformed);
        }
        if self.known.is_empty() || self.known.contains(name) {
            return Ok(());
        }
        let known: Vec<&str> = self.known.iter().map(String::as_str).collect();
        Err(HallNameError::Unknown {
            name: name.into(),
            known: known.join(", "),
        })
    }
}

fn is_well_formed(name: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b".-_".contains(&byte);
    (1..=MAX_NAME_BYTES).contains(&name.len()) && name.bytes().all(is_allowed)
}
