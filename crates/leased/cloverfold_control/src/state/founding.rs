//! Creation of the groups that keep jobs.
//!
//! The leader of the control log appends an entry that defines the groups, once
//!
//! 1. the settings ask for groups and none are defined yet;
//! 2. the newest voters are committed, and they have the configured number or include all seeds;
//! 3. every other voter is connected, and no connected control process runs a build without kept jobs.
//!
//! The voters at that time become the founders. Only the first such entry counts. Because the entry names the founders, all of them
//! bootstrap the groups with the same members, also after a restart. A voter with an older build would skip the entry permanently, and a
//! voter that is not connected might run one. A group with too few founders would not survive the losses that it should tolerate.

use std::collections::BTreeSet;

use cloverfold_consensus::{Member, Members};
use cloverfold_kept_jobs::{Founder, JobGroups};
use cloverfold_peer::Hello;

use super::ControlState;
use super::replicated::Command;

impl ControlState {
    /// Proposes the groups that keep jobs, if the conditions are met.
    pub(super) fn propose_job_groups(&mut self) {
        let count = self.jobs.config.count;
        if count == 0 || self.state.job_groups.is_some() || !self.host.is_leader() {
            return;
        }
        let commit = self.host.replica.status().commit;
        if self.jobs.uncommitted.is_uncommitted(&(), commit) {
            return;
        }
        let Some(founders) = self.find_founders() else {
            return;
        };
        log::info!(groups = count, founders = founders.len(); "proposing the groups of kept jobs");
        let command = Command::JobGroups(JobGroups { count, founders });
        let Ok(command) = command.encode() else {
            log::error!("cannot encode the groups of kept jobs");
            return;
        };
        if let Ok(index) = self.host.replica.propose(command, self.clock.now()) {
            self.jobs.uncommitted.record((), index, commit);
        }
    }

    /// Returns the voters as founders, if they can bootstrap the groups now.
    fn find_founders(&self) -> Option<Vec<Founder>> {
        let members = self.host.replica.committed_members()?;
        let is_complete = members.voters.len() >= self.jobs.config.groups.voters;
        if !is_complete && !self.includes_all_seeds(members) {
            return None;
        }
        let mut others = members.voters.iter().filter(|v| v.id != self.replica_id);
        if !others.all(|voter| self.is_ready_to_found(voter)) {
            return None;
        }
        if self
            .find_incompatible_control(Hello::supports_kept_jobs)
            .is_some()
        {
            return None;
        }
        let founders = members.voters.iter().map(|voter| Founder {
            replica: voter.id,
            address: voter.address,
        });
        Some(founders.collect())
    }

    fn includes_all_seeds(&self, members: &Members) -> bool {
        let voters: BTreeSet<_> = members.voters.iter().map(|v| v.address).collect();
        let mut seeds = self.jobs.config.seeds.iter();
        seeds.all(|seed| voters.contains(seed))
    }

    fn is_ready_to_found(&self, voter: &Member) -> bool {
        let link = self.replica_links.get(&voter.id);
        let hello = link.and_then(|link| self.links.hello(*link));
        hello.is_some_and(Hello::supports_kept_jobs)
    }
}
