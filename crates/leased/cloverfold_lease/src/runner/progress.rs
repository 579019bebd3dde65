//! Decision: whether one run makes progress, and how fast.
//!
//! Finds runs that are stuck or slow at a target that looks well.
//! Owns what was seen of one run's progress. Relies on nothing; every point in time comes from the caller.
//!
//! Targets report progress in whole percent in each answer to a renewal of the lease. Some report none.

use std::time::Duration;

use cloverfold_base::Timestamp;

/// A run that was listed at the same percent for this long is stuck, whatever its estimated duration.
///
/// docs/design/8-progress.md, "Standing still"; the rule was measured with this value (commit d036ac9).
const SHORTEST_STALL: Duration = Duration::from_millis(100);
/// Share of the estimated duration for which a longer run may be listed at the same percent.
///
/// docs/design/8-progress.md: a target ten times slower than usual still advances by one percent in a tenth of the estimate.
const STALL_SHARE: f64 = 0.12;
/// Sightings without progress that the verdict takes at least, after the one at which the percent was new.
///
/// docs/design/8-progress.md: a runner that was itself stalled must not judge its target by one late list.
const MIN_SIGHTINGS: u32 = 3;

/// The shortest span over which a speed is measured.
const SPEED_SPAN: Duration = Duration::from_millis(80);
/// The longest span over which a speed is measured; it is refined until then.
///
/// Commit de64589: one percent in 80 ms reads as a slowness of 8 where 5 is true. The value itself was chosen.
const LONGEST_SPEED_SPAN: Duration = Duration::from_millis(400);
/// Percent of advance that end a measurement of speed early. Commit de64589, as above; the value itself was chosen.
const MEASURED_ADVANCE: u8 = 5;

/// One sighting of a run.
#[derive(Clone, Copy, Debug)]
struct Sighting {
    percent: u8,
    seen_at: Timestamp,
}

/// How far one run was seen to have come.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ProgressTracker {
    percent: Option<u8>,
    /// When the percent was new.
    advanced_at: Timestamp,
    /// How often the run was seen since without having advanced.
    sightings: u32,
    /// The sighting from which its speed is measured.
    measured_from: Option<Sighting>,
}

impl ProgressTracker {
    /// Records a sighting; returns whether the run has advanced since the one before.
    pub(super) fn record(&mut self, percent: Option<u8>, now: Timestamp) -> bool {
        let before = self.percent;
        if percent.is_some() && percent == before {
            self.sightings += 1;
            return false;
        }
        self.percent = percent;
        self.advanced_at = now;
        self.sightings = 0;
        before.is_some() && percent > before
    }

    /// Returns whether a run of this estimated duration is stuck.
    ///
    /// It is if it was seen at the same percent for [`SHORTEST_STALL`], or for [`STALL_SHARE`] of its estimate if that is longer,
    /// and at least [`MIN_SIGHTINGS`] times.
    pub(super) fn is_stuck(&self, estimate: Duration, now: Timestamp) -> bool {
        let limit = estimate.mul_f64(STALL_SHARE).max(SHORTEST_STALL);
        self.sightings >= MIN_SIGHTINGS && now >= self.advanced_at + limit
    }

    /// Measures how fast the run advances, where 1 is as fast as estimated; none until [`SPEED_SPAN`] has passed.
    ///
    /// The same start serves until the run has advanced by [`MEASURED_ADVANCE`] percent or [`LONGEST_SPEED_SPAN`] has passed:
    /// a first rough value comes early and is refined.
    pub(super) fn measure_speed(
        &mut self,
        percent: Option<u8>,
        estimate: Duration,
        now: Timestamp,
    ) -> Option<f64> {
        let percent = percent?;
        let sighting = Sighting {
            percent,
            seen_at: now,
        };
        let Some(from) = self.measured_from else {
            self.measured_from = Some(sighting);
            return None;
        };
        let span = now.saturating_duration_since(from.seen_at);
        if span < SPEED_SPAN {
            return None;
        }
        let advance = percent.saturating_sub(from.percent);
        if advance >= MEASURED_ADVANCE || span >= LONGEST_SPEED_SPAN {
            self.measured_from = Some(sighting);
        }
        let share_done = f64::from(advance) / 100.0;
        Some(share_done * estimate.as_secs_f64() / span.as_secs_f64())
    }
}
