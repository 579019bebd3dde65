//! Decision: what a process that has an older configuration is sent.
//!
//! Rule: the change since its own, if that is among the newest [`KEPT_TEXTS`] and the change is shorter than the whole text; otherwise the
//! whole.
//!
//! Inputs: the configurations that were in force here of late, the version that the other has.
//!
//! Reason: a configuration goes to every entry and guard, and most changes touch a few routes. The whole text would make the bytes of each
//! change grow with the routes times the boxes.
//!
//! Owns the newest texts, in memory only.

use std::collections::{HashMap, VecDeque};

use crate::configuration::Version;
use crate::delta::ConfigurationDelta;
use crate::proposal::StoredConfiguration;

/// Texts that are kept: those of a quick series of changes, behind which the last box is a few versions.
const KEPT_TEXTS: usize = 8;

/// The configurations that were in force of late.
#[derive(Debug, Default)]
pub struct RecentConfigurations {
    /// Oldest first; the last one is in force.
    texts: VecDeque<StoredConfiguration>,
    /// The changes from these to the last one, as far as they were asked for; `None` where the whole text is no longer.
    changes: HashMap<Version, Option<ConfigurationDelta>>,
}

impl RecentConfigurations {
    /// Records a configuration that has come into force.
    pub fn record(&mut self, configuration: &StoredConfiguration) {
        if self.texts.len() == KEPT_TEXTS {
            self.texts.pop_front();
        }
        self.texts.push_back(configuration.clone());
        self.changes.clear();
    }

    /// Returns the change from the version that another process has to the one in force; `None` if that is to be sent whole.
    pub fn delta_since(&mut self, known: Version) -> Option<&ConfigurationDelta> {
        let older = self.texts.iter().find(|older| older.version == known)?;
        let newest = self.texts.back()?;
        let compare = || ConfigurationDelta::between(older, newest);
        self.changes.entry(known).or_insert_with(compare).as_ref()
    }
}
