//! Deltas between configurations, which spare a process that has an older version the transfer of the whole text.
//!
//! A [`ConfigurationDelta`] describes the newer text as pieces that are either copied from the older text or new. Texts are compared by
//! sections that end with a closing brace or a newline, which suits the routes of a JSON configuration but works for any format. Applying a
//! delta yields exactly the newer text or nothing: a hash of the newer text detects a base that has the right version but another text.

use std::collections::HashMap;

use cloverfold_base::{HASH_LEN, hash_parts};
use serde::{Deserialize, Serialize};

use crate::configuration::Version;
use crate::proposal::StoredConfiguration;

/// Longest text that a delta can be computed for or can produce.
const MAX_TEXT_BYTES: usize = 16 * 1024 * 1024;

/// A piece of the newer text. The order of the variants is the wire format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TextPiece {
    /// A range copied from the older text.
    Kept {
        /// Offset in the older text, in bytes.
        start: u32,
        /// Length in bytes.
        len: u32,
    },
    /// New bytes.
    New(Vec<u8>),
}

/// The difference between an older configuration and a newer one. The order of the fields is the wire format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationDelta {
    /// Version of the older configuration.
    pub base: Version,
    /// Version of the newer configuration.
    pub version: Version,
    /// The pieces of the newer text, in order.
    pub pieces: Vec<TextPiece>,
    /// Hash of the newer text.
    pub digest: [u8; HASH_LEN],
}

impl ConfigurationDelta {
    /// Computes the delta between two configurations; `None` if it would be no shorter than the newer text, or a text is too long.
    pub fn between(older: &StoredConfiguration, newer: &StoredConfiguration) -> Option<Self> {
        if older.text.len() > MAX_TEXT_BYTES || newer.text.len() > MAX_TEXT_BYTES {
            return None;
        }
        let pieces = compare_texts(&older.text, &newer.text);
        let length: usize = pieces.iter().map(estimate_encoded_len).sum();
        (length < newer.text.len()).then(|| Self {
            base: older.version,
            version: newer.version,
            pieces,
            digest: hash_parts(&[&newer.text]),
        })
    }

    /// Applies the delta to the older configuration; `None` if `base` is not the configuration that the delta was computed from.
    pub fn apply(&self, base: &StoredConfiguration) -> Option<StoredConfiguration> {
        if base.version != self.base {
            return None;
        }
        let mut text = Vec::new();
        for piece in &self.pieces {
            text.extend_from_slice(resolve_piece(piece, &base.text)?);
            if text.len() > MAX_TEXT_BYTES {
                return None;
            }
        }
        (hash_parts(&[&text]) == self.digest).then(|| StoredConfiguration {
            version: self.version,
            text: text.into(),
        })
    }
}

/// Returns the bytes of a piece; `None` if its range is outside the older text.
fn resolve_piece<'a>(piece: &'a TextPiece, older: &'a [u8]) -> Option<&'a [u8]> {
    match piece {
        TextPiece::Kept { start, len } => {
            let start = *start as usize;
            older.get(start..start + *len as usize)
        }
        TextPiece::New(bytes) => Some(bytes),
    }
}

/// Estimates the encoded size of a piece, in bytes.
fn estimate_encoded_len(piece: &TextPiece) -> usize {
    /// Approximate size of the variant and two variable-length integers in a long text.
    const PIECE_OVERHEAD_BYTES: usize = 8;
    match piece {
        TextPiece::Kept { .. } => PIECE_OVERHEAD_BYTES,
        TextPiece::New(bytes) => PIECE_OVERHEAD_BYTES + bytes.len(),
    }
}

/// Splits the newer text into pieces, copying every section that also occurs in the older text.
fn compare_texts(older: &[u8], newer: &[u8]) -> Vec<TextPiece> {
    let offsets = find_section_offsets(older);
    let mut pieces = Vec::new();
    for section in split_sections(newer) {
        let next = end_of_kept(&pieces).filter(|&next| older[next..].starts_with(section));
        let start = next.or_else(|| offsets.get(section).copied());
        add_section(&mut pieces, section, start);
    }
    pieces
}

/// Returns the offset of the first occurrence of each section.
fn find_section_offsets(text: &[u8]) -> HashMap<&[u8], usize> {
    let mut offsets = HashMap::new();
    let mut start = 0;
    for section in split_sections(text) {
        offsets.entry(section).or_insert(start);
        start += section.len();
    }
    offsets
}

fn split_sections(text: &[u8]) -> impl Iterator<Item = &[u8]> {
    text.split_inclusive(|byte| matches!(byte, b'}' | b'\n'))
}

/// Returns the offset in the older text after the last piece, if that piece is copied.
fn end_of_kept(pieces: &[TextPiece]) -> Option<usize> {
    match pieces.last()? {
        TextPiece::Kept { start, len } => Some((start + len) as usize),
        TextPiece::New(_) => None,
    }
}

/// Adds a section, copied from offset `start` of the older text or new if `None`. Extends the last piece where possible.
fn add_section(pieces: &mut Vec<TextPiece>, section: &[u8], start: Option<usize>) {
    let is_adjacent = start.is_some() && start == end_of_kept(pieces);
    match (pieces.last_mut(), start) {
        (Some(TextPiece::Kept { len, .. }), Some(_)) if is_adjacent => *len += section.len() as u32,
        (Some(TextPiece::New(bytes)), None) => bytes.extend_from_slice(section),
        (_, Some(start)) => pieces.push(TextPiece::Kept {
            start: start as u32,
            len: section.len() as u32,
        }),
        (_, None) => pieces.push(TextPiece::New(section.to_vec())),
    }
}
