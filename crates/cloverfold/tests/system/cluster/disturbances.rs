//! What tests do to a cluster: kills, planned stops, cut and slow links.

use std::time::Duration;

use cloverfold_faults::Faults;
use rustix::process::{Signal, kill_process};

use super::Cluster;

impl Cluster {
    pub fn kill_guard(&mut self, index: usize) {
        self.guards[index].kill();
    }

    pub fn start_guard(&mut self, index: usize) {
        self.guards[index].start();
    }

    pub fn signal_guard(&self, index: usize, signal: Signal) {
        kill_process(self.guards[index].pid(), signal).unwrap();
    }

    pub fn kill_entry(&mut self, index: usize) {
        self.entries[index].kill();
    }

    pub fn signal_entry(&self, index: usize, signal: Signal) {
        kill_process(self.entries[index].pid(), signal).unwrap();
    }

    /// Waits until a stopping guard has ended, and returns whether it ended well.
    pub async fn wait_guard_end(&mut self, index: usize) -> bool {
        self.guards[index].wait_end().await
    }

    pub async fn wait_entry_end(&mut self, index: usize) -> bool {
        self.entries[index].wait_end().await
    }

    /// Cuts a guard off from all others in silence, both ways, or joins it again.
    pub fn set_isolation(&self, index: usize, is_cut: bool) {
        let faults = if is_cut {
            Faults::blackhole()
        } else {
            Faults::default()
        };
        self.guard_links[index].set(faults);
        for link in &self.guard_links {
            link.faults().set_for(self.peers[index], faults);
        }
    }

    /// Slows the link between two guards, both ways.
    pub fn delay_between(&self, one: usize, other: usize, delay: Duration) {
        let faults = Faults {
            delay,
            ..Faults::default()
        };
        let set = |from: usize, to: usize| {
            self.guard_links[to]
                .faults()
                .set_for(self.peers[from], faults);
        };
        set(one, other);
        set(other, one);
    }
}
