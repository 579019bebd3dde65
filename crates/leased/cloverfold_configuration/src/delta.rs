//! What changes from one configuration to a newer one, so that a process that has the older one need not be sent the whole text.
//!
//! A [`ConfigurationDelta`] writes the newer text as pieces, each kept from the older text or new. Texts are compared by sections that end
//! with a closing brace or a line, such as the routes of a configuration in JSON: whatever the format, a change that was applied gives the
//! newer text to the byte, or nothing.
//!
//! Owns no state. Relies on the hash of the newer text to notice that a process has another text under the older number.

use std::collections::HashMap;

use cloverfold_base::{HASH_LEN, hash_parts};
use serde::{Deserialize, Serialize};

use crate::configuration::Version;
use crate::proposal::StoredConfiguration;

/// Longest text that a change is applied to or gives, in bytes.
const LONGEST_TEXT: usize = 16 * 1024 * 1024;

/// A piece of the newer text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TextPiece {
    /// Bytes of the older text.
    Kept {
        /// Where they begin there.
        start: u32,
        /// How many they are.
        len: u32,
    },
    /// Bytes that come next and are not kept.
    New(Vec<u8>),
}

/// How to make a configuration from an older one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationDelta {
    /// The older configuration.
    pub base: Version,
    /// The newer one.
    pub version: Version,
    /// The text of the newer one, in order.
    pub pieces: Vec<TextPiece>,
    /// Hash of that text.
    pub digest: [u8; HASH_LEN],
}

impl ConfigurationDelta {
    /// Compares two configurations; `None` if the change is no shorter than the newer text.
    pub fn between(older: &StoredConfiguration, newer: &StoredConfiguration) -> Option<Self> {
        if older.text.len() > LONGEST_TEXT || newer.text.len() > LONGEST_TEXT {
            return None;
        }
        let pieces = compare_texts(&older.text, &newer.text);
        let length: usize = pieces.iter().map(encoded_length).sum();
        (length < newer.text.len()).then(|| Self {
            base: older.version,
            version: newer.version,
            pieces,
            digest: hash_parts(&[&newer.text]),
        })
    }

    /// Returns the newer configuration; `None` if `base` is not the one that was compared.
    pub fn apply(&self, base: &StoredConfiguration) -> Option<StoredConfiguration> {
        if base.version != self.base {
            return None;
        }
        let mut text = Vec::new();
        for piece in &self.pieces {
            text.extend_from_slice(read_piece(piece, &base.text)?);
            if text.len() > LONGEST_TEXT {
                return None;
            }
        }
        (hash_parts(&[&text]) == self.digest).then(|| StoredConfiguration {
            version: self.version,
            text: text.into(),
        })
    }
}

/// Returns the bytes of a piece; `None` if the older text does not have them.
fn read_piece<'a>(piece: &'a TextPiece, older: &'a [u8]) -> Option<&'a [u8]> {
    match piece {
        TextPiece::Kept { start, len } => {
            let start = *start as usize;
            older.get(start..start + *len as usize)
        }
        TextPiece::New(bytes) => Some(bytes),
    }
}

/// Returns about how many bytes a piece takes on the wire.
fn encoded_length(piece: &TextPiece) -> usize {
    /// The variant and two numbers, as long as they get in texts of this size.
    const NUMBERS: usize = 8;
    match piece {
        TextPiece::Kept { .. } => NUMBERS,
        TextPiece::New(bytes) => NUMBERS + bytes.len(),
    }
}

/// Writes the newer text as pieces of the older one where its sections stand there too.
fn compare_texts(older: &[u8], newer: &[u8]) -> Vec<TextPiece> {
    let places = find_sections(older);
    let mut pieces = Vec::new();
    for section in split_sections(newer) {
        let next = end_of_kept(&pieces).filter(|&next| older[next..].starts_with(section));
        let start = next.or_else(|| places.get(section).copied());
        add_section(&mut pieces, section, start);
    }
    pieces
}

/// Returns where each section of a text begins.
fn find_sections(text: &[u8]) -> HashMap<&[u8], usize> {
    let mut places = HashMap::new();
    let mut start = 0;
    for section in split_sections(text) {
        places.entry(section).or_insert(start);
        start += section.len();
    }
    places
}

fn split_sections(text: &[u8]) -> impl Iterator<Item = &[u8]> {
    text.split_inclusive(|byte| matches!(byte, b'}' | b'\n'))
}

/// Returns the place in the older text after the last piece, if that is kept.
fn end_of_kept(pieces: &[TextPiece]) -> Option<usize> {
    match pieces.last()? {
        TextPiece::Kept { start, len } => Some((start + len) as usize),
        TextPiece::New(_) => None,
    }
}

/// Adds a section, which stands at `start` in the older text if it is kept, to the last piece or as a new one.
fn add_section(pieces: &mut Vec<TextPiece>, section: &[u8], start: Option<usize>) {
    let follows = start.is_some() && start == end_of_kept(pieces);
    match (pieces.last_mut(), start) {
        (Some(TextPiece::Kept { len, .. }), Some(_)) if follows => *len += section.len() as u32,
        (Some(TextPiece::New(bytes)), None) => bytes.extend_from_slice(section),
        (_, Some(start)) => pieces.push(TextPiece::Kept {
            start: start as u32,
            len: section.len() as u32,
        }),
        (_, None) => pieces.push(TextPiece::New(section.to_vec())),
    }
}
