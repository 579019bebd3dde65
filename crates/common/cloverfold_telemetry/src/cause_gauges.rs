//! Gauges with one label, the cause, for counts that a process's state keeps.
//!
//! Owns the gauges of one name. Relies on the caller to set them before the metrics are read.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CauseLabel {
    cause: &'static str,
}

/// One gauge for each cause.
#[derive(Debug)]
pub struct CauseGauges {
    family: Family<CauseLabel, Gauge>,
}

impl CauseGauges {
    /// Registers the gauges under a name, to which the registry adds its prefix.
    pub fn register(registry: &mut Registry, name: &str, help: &str) -> Self {
        let family = Family::<CauseLabel, Gauge>::default();
        registry.register(name, help, family.clone());
        Self { family }
    }

    /// Sets the gauge of each cause to its current count.
    pub fn set(&self, counts: &[(&'static str, u64)]) {
        for (cause, count) in counts {
            let label = CauseLabel { cause };
            self.family.get_or_create(&label).set(*count as i64);
        }
    }
}
