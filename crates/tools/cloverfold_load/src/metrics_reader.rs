//! Sums of counters and gauges over the metrics pages of several processes.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::client::{CallerClient, LoadError};

/// Sums of counters and gauges over processes, by name and labels.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MetricsTotals {
    sums: BTreeMap<String, f64>,
}

impl MetricsTotals {
    /// Returns the sum of one series such as `cloverfold_peer_requests_total{message="claim"}`, or 0 if no page has it.
    pub fn sum_of(&self, series: &str) -> f64 {
        self.sums.get(series).copied().unwrap_or(0.0)
    }

    /// Returns the sum over all series with a name.
    pub fn sum_of_name(&self, name: &str) -> f64 {
        let of_name = |series: &str| series.split('{').next() == Some(name);
        let sums = self.sums.iter().filter(|(series, _)| of_name(series));
        sums.map(|(_, value)| value).sum()
    }

    /// Lists the series with a name.
    pub fn list_series(&self, name: &str) -> Vec<(&str, f64)> {
        let of_name = |series: &str| series.split('{').next() == Some(name);
        let sums = self.sums.iter().filter(|(series, _)| of_name(series));
        sums.map(|(series, value)| (series.as_str(), *value))
            .collect()
    }

    /// Returns the differences from an earlier reading.
    pub fn since(&self, earlier: &Self) -> Self {
        let differences = self
            .sums
            .iter()
            .map(|(series, value)| (series.clone(), value - earlier.sum_of(series)));
        Self {
            sums: differences.collect(),
        }
    }

    /// Adds one page of metrics.
    pub fn add_page(&mut self, page: &str) {
        let lines = page.lines().filter(|line| !line.starts_with('#'));
        for line in lines {
            if let Some((series, value)) = line.rsplit_once(' ')
                && let Ok(value) = value.parse::<f64>()
            {
                *self.sums.entry(series.to_owned()).or_default() += value;
            }
        }
    }
}

/// Reads the metrics pages of processes and adds them up.
///
/// # Errors
///
/// Returns the error of the first page that cannot be read; later pages are not read.
pub async fn read_metrics(
    client: &CallerClient,
    processes: &[SocketAddr],
) -> Result<MetricsTotals, LoadError> {
    let mut totals = MetricsTotals::default();
    for process in processes {
        let (_, page) = client.get_text(*process, "/metrics").await?;
        totals.add_page(&page);
    }
    Ok(totals)
}
