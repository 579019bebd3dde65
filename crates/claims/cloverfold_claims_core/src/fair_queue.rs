//! A weighted fair queue.
//!
//! The lead queues jobs in it ([`crate::Admission`]) and each guard queues the tasks of its target ([`crate::Fence`]).

use std::collections::{HashMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::{ServiceId, WorkspaceId};

/// Scheduling class of a fair queue: the work of one workspace at one service.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Flow {
    /// The service.
    pub service: ServiceId,
    /// The workspace.
    pub workspace: WorkspaceId,
}

#[derive(Clone, Debug)]
struct FlowState<T> {
    items: VecDeque<QueuedItem<T>>,
    /// Virtual start time of the flow's next item.
    next_tag: f64,
    weight: f64,
}

#[derive(Clone, Debug)]
struct QueuedItem<T> {
    item: T,
    cost: f64,
}

/// Start-time fair queue: the backlogged flow with the smallest virtual start time is served next.
///
/// An idle flow resumes at the current virtual time, so that it earns no credit while it is idle.
#[derive(Clone, Debug)]
pub struct FairQueue<T> {
    flows: HashMap<Flow, FlowState<T>>,
    virtual_time: f64,
    len: usize,
}

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        Self {
            flows: HashMap::new(),
            virtual_time: 0.0,
            len: 0,
        }
    }
}

impl<T> FairQueue<T> {
    /// Returns the number of queued items.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether the queue has no items.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Appends an item to its flow; `weight` is above 0, `cost` is the share of the flow that the item uses.
    pub fn push(&mut self, flow: Flow, weight: f64, cost: f64, item: T) {
        let now = self.virtual_time;
        let state = self.flows.entry(flow).or_insert_with(|| FlowState {
            items: VecDeque::new(),
            next_tag: now,
            weight,
        });
        if state.items.is_empty() {
            state.next_tag = state.next_tag.max(now);
        }
        state.weight = weight;
        state.items.push_back(QueuedItem { item, cost });
        self.len += 1;
    }

    /// Removes the next item in fair order.
    pub fn pop(&mut self) -> Option<T> {
        let flow = self.sort_backlogged_flows().into_iter().next()?;
        self.pop_from(&flow)
    }

    /// Returns the item that [`FairQueue::pop`] would remove, with its flow.
    pub fn peek(&self) -> Option<(Flow, &T)> {
        let flow = self.sort_backlogged_flows().into_iter().next()?;
        let first = self.flows.get(&flow)?.items.front()?;
        Some((flow, &first.item))
    }

    /// Removes the next item in fair order among the flows' first items that match `predicate`.
    pub fn pop_where(&mut self, predicate: impl Fn(&Flow, &T) -> bool) -> Option<T> {
        let has_match = |flow: &Flow| {
            let first = self.flows.get(flow).and_then(|state| state.items.front());
            first.is_some_and(|first| predicate(flow, &first.item))
        };
        let flow = self.sort_backlogged_flows().into_iter().find(has_match)?;
        self.pop_from(&flow)
    }

    /// Returns the flows that have queued items.
    pub fn backlogged_flows(&self) -> impl Iterator<Item = &Flow> {
        let backlogged = self
            .flows
            .iter()
            .filter(|(_, state)| !state.items.is_empty());
        backlogged.map(|(flow, _)| flow)
    }

    fn sort_backlogged_flows(&self) -> Vec<Flow> {
        let mut backlogged: Vec<_> = self
            .flows
            .iter()
            .filter(|(_, state)| !state.items.is_empty())
            .collect();
        // Ties are broken by name, so that the order is deterministic.
        backlogged.sort_by(|(a_flow, a), (b_flow, b)| {
            a.next_tag
                .total_cmp(&b.next_tag)
                .then_with(|| a_flow.cmp(b_flow))
        });
        backlogged
            .into_iter()
            .map(|(flow, _)| flow.clone())
            .collect()
    }

    fn pop_from(&mut self, flow: &Flow) -> Option<T> {
        let state = self.flows.get_mut(flow)?;
        let first = state.items.pop_front()?;
        self.virtual_time = self.virtual_time.max(state.next_tag);
        state.next_tag += first.cost / state.weight;
        self.len -= 1;
        self.drop_idle_flows();
        Some(first.item)
    }

    /// Removes every item that matches `predicate`.
    pub fn drain_where(&mut self, mut predicate: impl FnMut(&T) -> bool) -> Vec<T> {
        let mut drained = Vec::new();
        for state in self.flows.values_mut() {
            let (matching, rest): (VecDeque<_>, VecDeque<_>) = std::mem::take(&mut state.items)
                .into_iter()
                .partition(|queued| predicate(&queued.item));
            state.items = rest;
            drained.extend(matching.into_iter().map(|queued| queued.item));
        }
        self.len -= drained.len();
        drained
    }

    fn drop_idle_flows(&mut self) {
        let now = self.virtual_time;
        self.flows
            .retain(|_, state| !state.items.is_empty() || state.next_tag > now);
    }
}
