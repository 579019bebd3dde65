//! Generates concurrent faults, some of which repeat right after the recovery.
//!
//! A second disk is lost only after the first replica has had time to recover. Other faults may coincide: they may make the installation
//! unavailable, but must not violate a guarantee.

use rand::RngExt;

use super::generate::PlanGenerator;
use super::{CONTROL_COUNT, Direction, Fault, GUARD_COUNT, Millis, TargetFault, list_processes};
use crate::records::Process;

/// Minimum time between two disk losses, so that the first replica has recovered before the second loss.
const MIN_DISK_LOSS_INTERVAL: Millis = 20_000;
/// Maximum duration of a fault.
const MAX_FAULT_LENGTH: Millis = 5_000;

impl PlanGenerator {
    /// Generates the faults of a phase.
    pub(super) fn generate_fault_phase(&mut self, from: Millis, until: Millis) {
        let mut at = from;
        while at < until {
            let concurrent_faults = self.rng.random_range(1..4);
            for _ in 0..concurrent_faults {
                let longest = (until - at).clamp(200, MAX_FAULT_LENGTH);
                let fault = self.generate_fault(at, longest);
                let is_repeated = self.rng.random_bool(0.3) && !includes_disk_loss(&fault);
                let repeated = is_repeated.then(|| fault.clone());
                // The repetition starts right after the recovery.
                let repeated_at = at + planned_duration(&fault) + self.rng.random_range(0..400);
                self.add_fault(at, fault);
                if let Some(fault) = repeated.filter(|_| repeated_at < until) {
                    self.add_fault(repeated_at, fault);
                }
            }
            at += self.rng.random_range(150..2_000);
        }
    }

    pub(super) fn choose_process(&mut self) -> Process {
        let processes = list_processes();
        processes[self.rng.random_range(0..processes.len())]
    }

    fn choose_direction(&mut self) -> Direction {
        match self.rng.random_range(0..3) {
            0 => Direction::Both,
            1 => Direction::Outbound,
            _ => Direction::Inbound,
        }
    }

    fn generate_fault(&mut self, at: Millis, longest: Millis) -> Fault {
        let duration = self.rng.random_range(50..longest);
        let downtime = self.rng.random_range(0..longest.min(2_500));
        let process = self.choose_process();
        match self.rng.random_range(0..100) {
            0..5 => Fault::Stop { process, downtime },
            5..17 => Fault::Kill { process, downtime },
            17..31 => Fault::Pause { process, duration },
            31..35 => self.generate_disk_loss(at, downtime),
            35..38 => self.generate_kill_all(at, downtime),
            38..51 => self.generate_partition(duration),
            51..56 => Fault::ExternalPartition {
                process,
                direction: self.choose_direction(),
                duration,
            },
            56..61 => Fault::Delay {
                process,
                delay: self.rng.random_range(5..400),
                duration,
            },
            61..66 => Fault::Reset { process },
            66..71 => Fault::Blackhole { process },
            _ => Fault::Target {
                target: self.rng.random_range(0..GUARD_COUNT),
                fault: self.generate_target_fault(),
                duration,
            },
        }
    }

    /// Records a disk loss at this time if the previous one is long enough ago; returns whether it did.
    fn try_lose_disk(&mut self, at: Millis) -> bool {
        let is_allowed = self
            .last_disk_loss
            .is_none_or(|last| at > last + MIN_DISK_LOSS_INTERVAL);
        if is_allowed {
            self.last_disk_loss = Some(at);
        }
        is_allowed
    }

    fn generate_disk_loss(&mut self, at: Millis, downtime: Millis) -> Fault {
        let control = self.rng.random_range(0..CONTROL_COUNT);
        if self.try_lose_disk(at) {
            Fault::LoseDisk { control, downtime }
        } else {
            let process = Process::Control(control);
            Fault::Kill { process, downtime }
        }
    }

    fn generate_kill_all(&mut self, at: Millis, downtime: Millis) -> Fault {
        let control = self.rng.random_range(0..CONTROL_COUNT);
        let is_lost = self.rng.random_bool(0.3) && self.try_lose_disk(at);
        Fault::KillAll {
            downtime,
            lost_disk: is_lost.then_some(control),
        }
    }

    fn generate_partition(&mut self, duration: Millis) -> Fault {
        let all = list_processes();
        let kind = self.rng.random_range(0..3);
        let side_flags: Vec<bool> = all
            .iter()
            .map(|process| match kind {
                // Random halves.
                0 => self.rng.random_bool(0.5),
                // One process against all others.
                1 => false,
                // Control processes against each other.
                _ => matches!(process, Process::Control(_)) && self.rng.random_bool(0.5),
            })
            .collect();
        let isolated = self.choose_process();
        let is_in_side = |index: usize, process: Process| {
            if kind == 1 {
                process == isolated
            } else {
                side_flags[index]
            }
        };
        let takes_part = |process: Process| kind != 2 || matches!(process, Process::Control(_));
        let (mut side, mut other) = (Vec::new(), Vec::new());
        for (index, process) in all.into_iter().enumerate() {
            if is_in_side(index, process) {
                side.push(process);
            } else if takes_part(process) {
                other.push(process);
            }
        }
        Fault::Partition {
            side,
            other,
            direction: self.choose_direction(),
            duration,
        }
    }

    fn generate_target_fault(&mut self) -> TargetFault {
        match self.rng.random_range(0..10) {
            0..4 => TargetFault::Crash {
                late_registration: self
                    .rng
                    .random_bool(0.8)
                    .then(|| self.rng.random_range(300..2_000)),
            },
            4 => TargetFault::Hang,
            5 => TargetFault::Fail,
            6 | 7 => TargetFault::Late {
                delay: self.rng.random_range(20..1_200),
            },
            8 => TargetFault::DropAnswers,
            _ => TargetFault::Unhealthy,
        }
    }
}

/// Returns the planned duration of a fault.
fn planned_duration(fault: &Fault) -> Millis {
    match fault {
        Fault::Stop { downtime, .. }
        | Fault::Kill { downtime, .. }
        | Fault::LoseDisk { downtime, .. }
        | Fault::KillAll { downtime, .. } => *downtime,
        Fault::Pause { duration, .. }
        | Fault::Partition { duration, .. }
        | Fault::ExternalPartition { duration, .. }
        | Fault::Delay { duration, .. }
        | Fault::Target { duration, .. } => *duration,
        Fault::Reset { .. } | Fault::Blackhole { .. } => 0,
    }
}

fn includes_disk_loss(fault: &Fault) -> bool {
    let kills_all_and_loses_disk = matches!(
        fault,
        Fault::KillAll {
            lost_disk: Some(_),
            ..
        }
    );
    kills_all_and_loses_disk || matches!(fault, Fault::LoseDisk { .. })
}
