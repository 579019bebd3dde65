//! The copy of the configuration at a guard, and the schedule for fetching a newer one.
//!
//! A guard does not use the configuration; it serves the copy to entries that restart while no control process is reachable.

use std::time::Duration;

use cloverfold_base::Timestamp;
use cloverfold_configuration::{StoredConfiguration, Version};
use cloverfold_link::LinkId;

/// Delay before a guard fetches a newer configuration, so that a burst of changes causes one fetch.
const FETCH_DELAY: Duration = Duration::from_millis(1_000);

/// A fetch that is scheduled.
#[derive(Clone, Copy)]
struct ScheduledFetch {
    link: LinkId,
    due_at: Timestamp,
}

/// The newest configuration that this guard has received; its version never decreases.
#[derive(Default)]
pub(crate) struct ConfigurationCopy {
    newest: Option<StoredConfiguration>,
    scheduled_fetch: Option<ScheduledFetch>,
}

impl ConfigurationCopy {
    /// Returns the version of the copy; 0 if there is none.
    pub(crate) fn version(&self) -> Version {
        self.newest.as_ref().map_or(0, |newest| newest.version)
    }

    /// Returns the copy.
    pub(crate) fn stored(&self) -> Option<&StoredConfiguration> {
        self.newest.as_ref()
    }

    /// Replaces the copy if the configuration is newer; returns whether it was.
    pub(crate) fn replace(&mut self, stored: StoredConfiguration) -> bool {
        let before = self.version();
        if stored.version <= before {
            return false;
        }
        log::info!(version = stored.version, before; "configuration copy updated");
        self.newest = Some(stored);
        true
    }

    /// Schedules a fetch from a peer whose version is newer, unless a fetch is scheduled already.
    pub(crate) fn schedule_fetch(&mut self, link: LinkId, version: Version, now: Timestamp) {
        if version > self.version() && self.scheduled_fetch.is_none() {
            let due_at = now + FETCH_DELAY;
            self.scheduled_fetch = Some(ScheduledFetch { link, due_at });
        }
    }

    /// Returns the link of the scheduled fetch if it is due, and removes the fetch.
    pub(crate) fn take_due_fetch(&mut self, now: Timestamp) -> Option<LinkId> {
        let due = self
            .scheduled_fetch
            .take_if(|scheduled| now >= scheduled.due_at)?;
        Some(due.link)
    }
}
