//! Metrics of kept jobs.
//!
//! Every replica of a group reports its number of jobs and the outcomes of applied commands; only the leader reports refused calls, the
//! age of the oldest open job and the jobs without a driver.

use std::time::Duration;

use cloverfold_leased_process::MetricsBuilder;
use cloverfold_telemetry::CauseGauges;
use prometheus_client::metrics::gauge::Gauge;

use crate::job_counts::JobCounts;
use crate::state::ControlState;

pub(crate) struct JobMetrics {
    groups: Gauge,
    led: Gauge,
    open: Gauge,
    ended: Gauge,
    bytes: Gauge,
    without_driver: Gauge,
    oldest_open_ms: Gauge,
    outcomes: CauseGauges,
}

impl JobMetrics {
    pub(crate) fn new(metrics: &mut MetricsBuilder) -> Self {
        Self {
            groups: metrics.add_gauge("job_groups", "Groups that keep jobs, hosted here"),
            led: metrics.add_gauge("job_groups_led", "Groups that this process leads"),
            open: metrics.add_gauge("jobs_open", "Kept jobs that have not ended"),
            ended: metrics.add_gauge("jobs_ended", "Ended jobs that are remembered"),
            bytes: metrics.add_gauge("jobs_open_bytes", "Bytes of the jobs that have not ended"),
            without_driver: metrics.add_gauge(
                "jobs_without_driver",
                "Open jobs of the groups led here whose driver is not alive",
            ),
            oldest_open_ms: metrics.add_gauge(
                "jobs_oldest_open_ms",
                "For how long the leaders here have known their oldest open job",
            ),
            outcomes: metrics.add_cause_gauges(
                "job_outcomes",
                "What became of commands and calls about kept jobs, since the start",
            ),
        }
    }

    /// Updates all gauges from the state.
    pub(crate) fn set(&self, state: &ControlState) {
        let (mut hosted, mut led, mut open, mut ended, mut bytes) = (0, 0, 0, 0, 0);
        let mut without_driver = 0;
        let mut oldest = Duration::ZERO;
        let mut counts = JobCounts::default();
        for group in state.open_groups() {
            hosted += 1;
            led += i64::from(group.is_leading());
            open += group.table().open().len();
            ended += group.table().ended_count();
            bytes += group.table().open_bytes();
            without_driver += group.count_without_driver(state.now());
            oldest = oldest.max(group.oldest_open_age(state.now()));
            counts.add(group.counts());
        }
        self.groups.set(hosted);
        self.led.set(led);
        self.open.set(open as i64);
        self.ended.set(ended as i64);
        self.bytes.set(bytes as i64);
        self.without_driver.set(without_driver as i64);
        self.oldest_open_ms.set(oldest.as_millis() as i64);
        self.outcomes.set(&counts.list());
    }
}
