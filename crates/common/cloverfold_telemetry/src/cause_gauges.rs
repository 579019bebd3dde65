//! Gauges with a `cause` label.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CauseLabel {
    cause: &'static str,
}

/// A family of gauges, one for each cause. Set them before the metrics are encoded.
#[derive(Debug)]
pub struct CauseGauges {
    family: Family<CauseLabel, Gauge>,
}

impl CauseGauges {
    /// Registers the family under a name, to which the registry adds its prefix.
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
