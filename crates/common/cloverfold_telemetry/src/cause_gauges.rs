//! Counts by cause, shown as gauges with a label.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CauseLabel {
    cause: &'static str,
}

/// One gauge for each cause, read off counts that the state keeps.
#[derive(Debug)]
pub struct CauseGauges {
    family: Family<CauseLabel, Gauge>,
}

impl CauseGauges {
    /// Registers gauges of this name.
    pub fn register(registry: &mut Registry, name: &str, help: &str) -> Self {
        let family = Family::<CauseLabel, Gauge>::default();
        registry.register(name, help, family.clone());
        Self { family }
    }

    /// Takes the counts of now.
    pub fn set(&self, counts: &[(&'static str, u64)]) {
        for (cause, count) in counts {
            let label = CauseLabel { cause };
            self.family.get_or_create(&label).set(*count as i64);
        }
    }
}
