//! The identity of one incarnation of a target.
//!
//! Owns [`IncarnationId`]. What hangs on a target, above all its counts and its clock, hangs on an incarnation: a target may start again
//! under the name that it had; then it knows nothing of before and counts anew.

/// When a target started, in milliseconds since 1970 by its own time of day. Only compared for equality: that clock may be put back
/// between two incarnations.
pub type BornMs = u64;

/// One incarnation of a target: one life.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IncarnationId {
    /// The target's name, by which it is called.
    pub name: String,
    /// When it started; `None` for a target that does not tell, whose name is that of one incarnation alone.
    pub born: Option<BornMs>,
}

impl IncarnationId {
    /// Returns the incarnation that has answered a call by this one's name; an answer that does not tell a start is taken as this incarnation's.
    pub(super) fn answered_by(&self, born: Option<BornMs>) -> Self {
        Self {
            name: self.name.clone(),
            born: born.or(self.born),
        }
    }

    /// Returns whether `word` is of this name and leaves the start out that this incarnation tells.
    pub(super) fn is_hidden_in(&self, word: &Self) -> bool {
        self.name == word.name && self.born.is_some() && word.born.is_none()
    }
}
