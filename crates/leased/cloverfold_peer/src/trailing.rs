//! Optional fields at the end of a message, for compatibility between builds.
//!
//! Decoding ignores the bytes after the known fields of a message, so an older build can read a message with an additional last field. A
//! message from an older build lacks the field, which [`Trailing`] decodes as `None`. Only the last field of a whole frame can have this
//! type.

use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Last field of a message that older builds do not send.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Trailing<T>(pub Option<T>);

impl<T: Serialize> Serialize for Trailing<T> {
    /// Writes the value without a tag, and nothing for `None`.
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        match &self.0 {
            Some(value) => value.serialize(serializer),
            None => serializer.serialize_unit(),
        }
    }
}

impl<'de, T: Deserialize<'de>> Deserialize<'de> for Trailing<T> {
    /// Never fails: the encoding does not mark a missing field, so a premature end of the bytes is the only sign of one.
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        Ok(Self(T::deserialize(deserializer).ok()))
    }
}
