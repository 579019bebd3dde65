//! Recent configurations, kept in memory to compute deltas.
//!
//! A process whose version is among the newest [`HISTORY_LEN`] receives a delta if that is shorter than the whole text; any other process
//! receives the whole text. A configuration goes to every entry and guard, and most updates touch few routes, so deltas keep the traffic of
//! an update independent of the number of routes.

use std::collections::{HashMap, VecDeque};

use crate::configuration::Version;
use crate::delta::ConfigurationDelta;
use crate::proposal::StoredConfiguration;

/// Number of configurations that are kept; covers processes that lag a few versions behind a quick series of updates.
const HISTORY_LEN: usize = 8;

/// The configurations that came into force most recently.
#[derive(Debug, Default)]
pub struct RecentConfigurations {
    /// Oldest first; the last one is in force.
    configurations: VecDeque<StoredConfiguration>,
    /// Cache of deltas from older versions to the one in force; `None` if the delta is not shorter than the whole text.
    deltas: HashMap<Version, Option<ConfigurationDelta>>,
}

impl RecentConfigurations {
    /// Records a configuration that came into force.
    pub fn record(&mut self, configuration: &StoredConfiguration) {
        if self.configurations.len() == HISTORY_LEN {
            self.configurations.pop_front();
        }
        self.configurations.push_back(configuration.clone());
        self.deltas.clear();
    }

    /// Returns the delta from the version that another process has to the one in force; `None` if the whole text must be sent.
    pub fn delta_since(&mut self, known: Version) -> Option<&ConfigurationDelta> {
        let older = self
            .configurations
            .iter()
            .find(|older| older.version == known)?;
        let newest = self.configurations.back()?;
        let compare = || ConfigurationDelta::between(older, newest);
        self.deltas.entry(known).or_insert_with(compare).as_ref()
    }
}
