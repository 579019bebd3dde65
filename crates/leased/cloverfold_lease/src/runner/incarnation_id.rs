//! The identity of one incarnation of a target.
//!
//! A target may restart under the same name. It then has no state from before, and its clock and sequence numbers start again, so all
//! that is known of a target belongs to one incarnation.

/// Start time of a target, in milliseconds since the Unix epoch on its own wall clock.
///
/// It is compared only for equality, since that clock may be set back between two incarnations.
pub type StartTimeMs = u64;

/// One incarnation of a target, from its start to its end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IncarnationId {
    /// The target's name, which addresses it in calls.
    pub name: String,
    /// When it started; `None` for a target that does not report it, which uses each name for only one incarnation.
    pub start_time: Option<StartTimeMs>,
}

impl IncarnationId {
    /// Returns the incarnation that answered a call addressed to this one; an answer without a start time is attributed to this one.
    pub(super) fn answered_by(&self, start_time: Option<StartTimeMs>) -> Self {
        Self {
            name: self.name.clone(),
            start_time: start_time.or(self.start_time),
        }
    }

    /// Returns whether `reported` has this name but lacks the start time that this incarnation has.
    pub(super) fn matches_without_start_time(&self, reported: &Self) -> bool {
        self.name == reported.name && self.start_time.is_some() && reported.start_time.is_none()
    }
}
