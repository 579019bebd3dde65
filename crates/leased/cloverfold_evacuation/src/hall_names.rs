//! Validation of the data hall names that operators use.
//!
//! A name has 1 to [`MAX_NAME_BYTES`] ASCII letters, digits, dots, hyphens and underscores. If the settings list the halls, it must be one
//! of them; otherwise an order for a mistyped hall would be acknowledged without evacuating anything.

use std::collections::BTreeSet;

use crate::evacuated_halls::DataHall;

/// Maximum length of a data hall's name, in bytes.
const MAX_NAME_BYTES: usize = 128;

/// The reason why a name is refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HallNameError {
    /// The name is not well-formed.
    #[error(
        "a data hall's name has 1 to {MAX_NAME_BYTES} letters, digits, dots, hyphens or underscores"
    )]
    Malformed,
    /// The installation has no hall with this name.
    #[error("no data hall {name} in this installation; it has: {known}")]
    Unknown {
        /// The name.
        name: DataHall,
        /// The known halls, separated by commas.
        known: String,
    },
}

/// The data halls of an installation. If none are listed, every well-formed name is accepted.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HallNames {
    known: BTreeSet<DataHall>,
}

impl HallNames {
    /// Returns the halls that the settings list.
    pub fn new(known: impl IntoIterator<Item = DataHall>) -> Self {
        Self {
            known: known.into_iter().collect(),
        }
    }

    /// Checks a name that an operator has given.
    ///
    /// # Errors
    ///
    /// Returns an error if the name is not well-formed or not known.
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
