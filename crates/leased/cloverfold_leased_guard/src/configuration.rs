//! The copy of the configuration that a guard keeps, and when it fetches a newer one.
//!
//! A guard doesn't use the configuration; it passes it on to entries that restart while no control process can be reached. Owns the copy,
//! whose version only ever rises, and the fetch that is planned next.

use std::time::Duration;

use cloverfold_base::Timestamp;
use cloverfold_configuration::{StoredConfiguration, Version};
use cloverfold_link::LinkId;

/// How long a guard waits before it fetches a newer configuration, so that a burst of changes is fetched once.
const FETCH_DELAY: Duration = Duration::from_millis(1_000);

/// A fetch that is not sent yet.
#[derive(Clone, Copy)]
struct PlannedFetch {
    link: LinkId,
    due_at: Timestamp,
}

/// The newest configuration that this guard has received; none at first.
#[derive(Default)]
pub(crate) struct ConfigurationCopy {
    newest: Option<StoredConfiguration>,
    planned_fetch: Option<PlannedFetch>,
}

impl ConfigurationCopy {
    /// Returns the version of the copy; 0 before the first.
    pub(crate) fn version(&self) -> Version {
        self.newest.as_ref().map_or(0, |newest| newest.version)
    }

    /// Returns the copy as it was received.
    pub(crate) fn stored(&self) -> Option<&StoredConfiguration> {
        self.newest.as_ref()
    }

    /// Keeps a configuration if it is newer; returns whether it was.
    pub(crate) fn replace(&mut self, stored: StoredConfiguration) -> bool {
        let before = self.version();
        if stored.version <= before {
            return false;
        }
        log::info!(version = stored.version, before; "a configuration is kept");
        self.newest = Some(stored);
        true
    }

    /// Plans to fetch from a peer whose version is newer, unless a fetch is planned already.
    pub(crate) fn plan_fetch(&mut self, link: LinkId, version: Version, now: Timestamp) {
        if version > self.version() && self.planned_fetch.is_none() {
            let due_at = now + FETCH_DELAY;
            self.planned_fetch = Some(PlannedFetch { link, due_at });
        }
    }

    /// Returns the link to fetch from if the planned fetch is due, and drops the plan.
    pub(crate) fn take_due_fetch(&mut self, now: Timestamp) -> Option<LinkId> {
        let due = self
            .planned_fetch
            .take_if(|planned| now >= planned.due_at)?;
        Some(due.link)
    }
}
