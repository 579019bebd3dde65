//! Decision: when the groups that keep jobs are agreed on, and who begins them.
//!
//! Rule: the leader of control's log appends the groups once, when
//!
//! 1. the settings ask for any, and none are agreed on;
//! 2. the newest voters are committed, and are as many as there should be or all seeds;
//! 3. every other voter is connected, and no connected control process is of a build that knows no kept jobs.
//!
//! The voters of that moment are the founders, with the addresses under which control's log names them. Only the first entry counts.
//!
//! Inputs: the settings, the state and the newest voters of control's log, the introductions of the connected control processes.
//!
//! Reason: what stands in the entry is the same for every process that applies it, now or after a restart, so that all founders begin with
//! the same members. A voter of an older build would pass over the entry for good; one that is not connected could be of one. A group
//! of fewer founders than it should have would not survive the losses that it is to tolerate.

use std::collections::BTreeSet;

use cloverfold_consensus::{Member, Members};
use cloverfold_kept_jobs::{Founder, JobGroups};
use cloverfold_peer::Hello;

use super::ControlState;
use super::replicated::Command;

impl ControlState {
    /// Agrees on the groups that keep jobs, if that is due.
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
        log::info!(groups = count, founders = founders.len(); "the groups that keep jobs are proposed");
        let command = Command::JobGroups(JobGroups { count, founders });
        let Ok(command) = command.encode() else {
            log::error!("the groups that keep jobs cannot be encoded");
            return;
        };
        if let Ok(index) = self.host.replica.propose(command, self.clock.now()) {
            self.jobs.uncommitted.record((), index, commit);
        }
    }

    /// Returns the voters if they can begin the groups now.
    fn find_founders(&self) -> Option<Vec<Founder>> {
        let members = self.host.replica.committed_members()?;
        let is_complete = members.voters.len() >= self.jobs.config.groups.voters;
        if !is_complete && !self.are_all_seeds(members) {
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

    fn are_all_seeds(&self, members: &Members) -> bool {
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
