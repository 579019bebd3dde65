//! Disruptions of a cluster: kills, planned stops, isolated guards and slow links.

use std::time::Duration;

use cloverfold_faults::Faults;
use rustix::process::{Signal, kill_process};

use super::Cluster;

impl Cluster {
    /// Returns the most resident memory that an entry has had, in MiB.
    pub fn entry_peak_memory_mb(&self, index: usize) -> u64 {
        let pid = self.entries[index].pid().as_raw_nonzero();
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kib: u64 = peak
            .unwrap()
            .trim()
            .trim_end_matches(" kB")
            .parse()
            .unwrap();
        kib / 1024
    }

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

    /// Waits until a stopping guard exits, and returns whether it exited cleanly.
    pub async fn wait_for_guard_exit(&mut self, index: usize) -> bool {
        self.guards[index].wait_for_exit().await
    }

    pub async fn wait_for_entry_exit(&mut self, index: usize) -> bool {
        self.entries[index].wait_for_exit().await
    }

    /// Silently drops all traffic between a guard and all others, or restores it.
    pub fn set_isolation(&self, index: usize, is_isolated: bool) {
        let faults = if is_isolated {
            Faults::blackhole()
        } else {
            Faults::default()
        };
        self.guard_links[index].set(faults);
        for link in &self.guard_links {
            link.faults().set_for(self.peers[index], faults);
        }
    }

    /// Delays the link between two guards in both directions.
    pub fn delay_between(&self, first: usize, second: usize, delay: Duration) {
        let faults = Faults {
            delay,
            ..Faults::default()
        };
        let set = |from: usize, to: usize| {
            self.guard_links[to]
                .faults()
                .set_for(self.peers[from], faults);
        };
        set(first, second);
        set(second, first);
    }
}
