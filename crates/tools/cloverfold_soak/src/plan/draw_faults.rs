//! Draws faults, several at once and again right after a repair.
//!
//! Rule: no second disk is lost while the first may not be whole again; all else may fall together, since only service may rest then.

use rand::RngExt;

use super::draw::Draw;
use super::{CONTROL_COUNT, CutDirection, Fault, GUARD_COUNT, Millis, TargetFault, list_processes};
use crate::records::Process;

/// Two lost disks are so far apart, so that no more are lost at once than one.
const BETWEEN_LOST_DISKS: Millis = 20_000;
/// Longest fault.
const LONGEST_FAULT: Millis = 5_000;

impl Draw {
    /// Draws the faults of a span.
    pub(super) fn draw_storm(&mut self, from: Millis, until: Millis) {
        let mut at = from;
        while at < until {
            let at_once = self.rng.random_range(1..4);
            for _ in 0..at_once {
                let longest = (until - at).clamp(200, LONGEST_FAULT);
                let fault = self.draw_fault(at, longest);
                let is_again = self.rng.random_bool(0.3) && !loses_disk(&fault);
                let again = is_again.then(|| fault.clone());
                // Once more right after the repair.
                let at_again = at + span_of(&fault) + self.rng.random_range(0..400);
                self.fault(at, fault);
                if let Some(fault) = again.filter(|_| at_again < until) {
                    self.fault(at_again, fault);
                }
            }
            at += self.rng.random_range(150..2_000);
        }
    }

    pub(super) fn draw_process(&mut self) -> Process {
        let processes = list_processes();
        processes[self.rng.random_range(0..processes.len())]
    }

    fn draw_way(&mut self) -> CutDirection {
        match self.rng.random_range(0..3) {
            0 => CutDirection::Both,
            1 => CutDirection::Outwards,
            _ => CutDirection::Inwards,
        }
    }

    fn draw_fault(&mut self, at: Millis, longest: Millis) -> Fault {
        let lasts = self.rng.random_range(50..longest);
        let away = self.rng.random_range(0..longest.min(2_500));
        let process = self.draw_process();
        match self.rng.random_range(0..100) {
            0..5 => Fault::Stop { process, away },
            5..17 => Fault::Kill { process, away },
            17..31 => Fault::Pause { process, lasts },
            31..35 => self.draw_lost_disk(at, away),
            35..38 => self.draw_kill_all(at, away),
            38..51 => self.draw_cut(lasts),
            51..56 => Fault::CutOff {
                process,
                way: self.draw_way(),
                lasts,
            },
            56..61 => Fault::Delay {
                process,
                by: self.rng.random_range(5..400),
                lasts,
            },
            61..66 => Fault::Reset { process },
            66..71 => Fault::Silence { process },
            _ => Fault::Target {
                target: self.rng.random_range(0..GUARD_COUNT),
                fault: self.draw_target_fault(),
                lasts,
            },
        }
    }

    /// Returns whether another disk may be lost at this time, and takes note of it.
    fn may_lose_disk(&mut self, at: Millis) -> bool {
        let is_far = self
            .last_lost_disk
            .is_none_or(|last| at > last + BETWEEN_LOST_DISKS);
        if is_far {
            self.last_lost_disk = Some(at);
        }
        is_far
    }

    fn draw_lost_disk(&mut self, at: Millis, away: Millis) -> Fault {
        let control = self.rng.random_range(0..CONTROL_COUNT);
        if self.may_lose_disk(at) {
            Fault::LoseDisk { control, away }
        } else {
            let process = Process::Control(control);
            Fault::Kill { process, away }
        }
    }

    fn draw_kill_all(&mut self, at: Millis, away: Millis) -> Fault {
        let control = self.rng.random_range(0..CONTROL_COUNT);
        let is_lost = self.rng.random_bool(0.3) && self.may_lose_disk(at);
        Fault::KillAll {
            away,
            lost_disk: is_lost.then_some(control),
        }
    }

    fn draw_cut(&mut self, lasts: Millis) -> Fault {
        let all = list_processes();
        let kind = self.rng.random_range(0..3);
        let in_side: Vec<bool> = all
            .iter()
            .map(|process| match kind {
                // Halves.
                0 => self.rng.random_bool(0.5),
                // One process from the others.
                1 => false,
                // Control processes among themselves.
                _ => matches!(process, Process::Control(_)) && self.rng.random_bool(0.5),
            })
            .collect();
        let alone = self.draw_process();
        let is_in_side = |index: usize, process: Process| {
            if kind == 1 {
                process == alone
            } else {
                in_side[index]
            }
        };
        let is_meant = |process: Process| kind != 2 || matches!(process, Process::Control(_));
        let (mut side, mut other) = (Vec::new(), Vec::new());
        for (index, process) in all.into_iter().enumerate() {
            if is_in_side(index, process) {
                side.push(process);
            } else if is_meant(process) {
                other.push(process);
            }
        }
        Fault::Cut {
            side,
            other,
            way: self.draw_way(),
            lasts,
        }
    }

    fn draw_target_fault(&mut self) -> TargetFault {
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
                by: self.rng.random_range(20..1_200),
            },
            8 => TargetFault::Unanswering,
            _ => TargetFault::Unhealthy,
        }
    }
}

/// Returns how long a fault lasts by the plan.
fn span_of(fault: &Fault) -> Millis {
    match fault {
        Fault::Stop { away, .. }
        | Fault::Kill { away, .. }
        | Fault::LoseDisk { away, .. }
        | Fault::KillAll { away, .. } => *away,
        Fault::Pause { lasts, .. }
        | Fault::Cut { lasts, .. }
        | Fault::CutOff { lasts, .. }
        | Fault::Delay { lasts, .. }
        | Fault::Target { lasts, .. } => *lasts,
        Fault::Reset { .. } | Fault::Silence { .. } => 0,
    }
}

fn loses_disk(fault: &Fault) -> bool {
    let loses_all = matches!(
        fault,
        Fault::KillAll {
            lost_disk: Some(_),
            ..
        }
    );
    loses_all || matches!(fault, Fault::LoseDisk { .. })
}
