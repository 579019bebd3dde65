//! Fields that a newer build sends at the end of a message.
//!
//! A process decodes what it knows of a message and passes over the bytes behind it, so a build that does not know a field at the end
//! reads the message all the same. The other way round the field is missing, and [`Trailing`] reads it as none. Only the last field of
//! a whole frame can be of this type.

use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// A last field that builds before it do not send.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Trailing<T>(pub Option<T>);

impl<T: Serialize> Serialize for Trailing<T> {
    /// Writes the value as it is, and nothing at all for none.
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        match &self.0 {
            Some(value) => value.serialize(serializer),
            None => serializer.serialize_unit(),
        }
    }
}

impl<'de, T: Deserialize<'de>> Deserialize<'de> for Trailing<T> {
    /// Never fails: the format has no mark for a missing field, so bytes that end too early are the only sign of one.
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        Ok(Self(T::deserialize(deserializer).ok()))
    }
}
