//! Detection of stuck runs and measurement of a run's speed.
//!
//! It finds runs that are stuck or slow at a target that answers normally. Targets report progress in whole percent in each answer to a
//! lease renewal; some report none.

use std::time::Duration;

use cloverfold_base::Timestamp;

/// Minimum time without progress after which a run is stuck, whatever its estimated duration.
const MIN_STALL: Duration = Duration::from_millis(100);
/// Fraction of the estimated duration for which a longer run may show no progress: a target ten times slower than usual still advances by
/// one percent in a tenth of the estimate.
const STALL_FRACTION: f64 = 0.12;
/// Minimum number of samples without progress, so that one late list after a stall of the runner does not make a run stuck.
const MIN_STALLED_SAMPLES: u32 = 3;

/// Minimum span over which a speed is measured.
const MIN_SPEED_SPAN: Duration = Duration::from_millis(80);
/// Maximum span over which a speed is measured; whole percents are too coarse for a precise speed over a short span.
const MAX_SPEED_SPAN: Duration = Duration::from_millis(400);
/// Advance in percent that completes a speed measurement early.
const FULL_ADVANCE_PERCENT: u8 = 5;

/// Progress of a run in one list.
#[derive(Clone, Copy, Debug)]
struct ProgressSample {
    percent: u8,
    seen_at: Timestamp,
}

/// Observed progress of one run.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ProgressTracker {
    percent: Option<u8>,
    /// When the current percent was first seen.
    advanced_at: Timestamp,
    /// Number of samples since then without progress.
    stalled_samples: u32,
    /// The sample from which the speed is measured.
    speed_baseline: Option<ProgressSample>,
}

impl ProgressTracker {
    /// Records a sample; returns whether the run has advanced since the previous one.
    pub(super) fn record(&mut self, percent: Option<u8>, now: Timestamp) -> bool {
        let before = self.percent;
        if percent.is_some() && percent == before {
            self.stalled_samples += 1;
            return false;
        }
        self.percent = percent;
        self.advanced_at = now;
        self.stalled_samples = 0;
        before.is_some() && percent > before
    }

    /// Returns whether a run of this estimated duration is stuck.
    ///
    /// It is stuck after [`MIN_STALL`] without progress, or [`STALL_FRACTION`] of its estimate if that is longer, and at least
    /// [`MIN_STALLED_SAMPLES`] samples.
    pub(super) fn is_stuck(&self, estimate: Duration, now: Timestamp) -> bool {
        let limit = estimate.mul_f64(STALL_FRACTION).max(MIN_STALL);
        self.stalled_samples >= MIN_STALLED_SAMPLES && now >= self.advanced_at + limit
    }

    /// Returns how fast the run advances, where 1 is as fast as estimated; `None` until [`MIN_SPEED_SPAN`] has passed.
    ///
    /// The baseline stays the same until the run has advanced by [`FULL_ADVANCE_PERCENT`] or [`MAX_SPEED_SPAN`] has passed, so that an
    /// early rough value is refined.
    pub(super) fn measure_speed(
        &mut self,
        percent: Option<u8>,
        estimate: Duration,
        now: Timestamp,
    ) -> Option<f64> {
        let percent = percent?;
        let sample = ProgressSample {
            percent,
            seen_at: now,
        };
        let Some(baseline) = self.speed_baseline else {
            self.speed_baseline = Some(sample);
            return None;
        };
        let span = now.saturating_duration_since(baseline.seen_at);
        if span < MIN_SPEED_SPAN {
            return None;
        }
        let advance = percent.saturating_sub(baseline.percent);
        if advance >= FULL_ADVANCE_PERCENT || span >= MAX_SPEED_SPAN {
            self.speed_baseline = Some(sample);
        }
        let share_done = f64::from(advance) / 100.0;
        Some(share_done * estimate.as_secs_f64() / span.as_secs_f64())
    }
}
