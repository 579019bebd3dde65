//! Index of the sessions by the service and the labels of their targets.

use std::collections::{BTreeSet, HashMap};

use cloverfold_base::Timestamp;

use crate::dispatcher::Dispatcher;
use crate::dispatcher::job::Job;
use crate::messages::{SessionId, TargetDescription};
use crate::request::StepRequest;

/// Identifies a [`TargetSet`]; never reused.
pub(super) type TargetSetId = u64;

/// The sessions whose targets serve a service, or of these the ones with a label.
#[derive(Debug)]
pub(super) struct TargetSet {
    pub(super) id: TargetSetId,
    /// In order, so that a choice among them depends only on the random numbers.
    pub(super) sessions: BTreeSet<SessionId>,
}

#[derive(Debug)]
struct ServiceTargets {
    all: TargetSet,
    by_label: HashMap<String, TargetSet>,
}

/// The sessions with an announced target. Sets without a session are removed.
#[derive(Debug, Default)]
pub(super) struct TargetIndex {
    by_service: HashMap<String, ServiceTargets>,
    last_id: TargetSetId,
}

impl TargetIndex {
    /// Adds the target of a session.
    pub(super) fn insert(&mut self, session: SessionId, target: &TargetDescription) {
        let last_id = &mut self.last_id;
        let mut new_set = || {
            *last_id += 1;
            TargetSet {
                id: *last_id,
                sessions: BTreeSet::new(),
            }
        };
        let targets = self.by_service.entry(target.service.clone());
        let targets = targets.or_insert_with(|| ServiceTargets {
            all: new_set(),
            by_label: HashMap::new(),
        });
        targets.all.sessions.insert(session);
        for label in &target.labels {
            let set = targets.by_label.entry(label.clone());
            let set = set.or_insert_with(&mut new_set);
            set.sessions.insert(session);
        }
    }

    /// Removes the target of a session, which was added with this description.
    pub(super) fn remove(&mut self, session: SessionId, target: &TargetDescription) {
        let Some(targets) = self.by_service.get_mut(&target.service) else {
            return;
        };
        targets.all.sessions.remove(&session);
        for label in &target.labels {
            let Some(set) = targets.by_label.get_mut(label) else {
                continue;
            };
            set.sessions.remove(&session);
            if set.sessions.is_empty() {
                targets.by_label.remove(label);
            }
        }
        if targets.all.sessions.is_empty() {
            self.by_service.remove(&target.service);
        }
    }

    /// Returns the targets of a service that have the label, if one is required; `None` if there are none.
    pub(super) fn find(&self, service: &str, label: Option<&str>) -> Option<&TargetSet> {
        let targets = self.by_service.get(service)?;
        match label {
            Some(label) => targets.by_label.get(label),
            None => Some(&targets.all),
        }
    }
}

impl Dispatcher {
    /// Returns whether any target of a service accepts work.
    pub(super) fn has_target_for_service(&self, service: &str, now: Timestamp) -> bool {
        let targets = self.targets.find(service, None);
        targets.is_some_and(|targets| self.any_accepts_work(targets, now))
    }

    /// Returns the targets with the service and the label that a step needs.
    pub(super) fn find_targets(&self, job: &Job, step: &StepRequest) -> Option<&TargetSet> {
        let label = step.required_label.as_deref();
        self.targets.find(&job.request.service, label)
    }

    /// Returns whether any target of a set accepts work.
    fn any_accepts_work(&self, targets: &TargetSet, now: Timestamp) -> bool {
        let sessions = targets.sessions.iter();
        let mut runners = sessions.filter_map(|session| self.sessions.get(session));
        runners.any(|runner| runner.accepts_work(now))
    }
}
