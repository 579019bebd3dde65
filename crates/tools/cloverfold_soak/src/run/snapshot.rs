//! Snapshots of the history, including the runs that the targets record, and of the log lengths.

use cloverfold_stand_ins::target::RunEndCause;

use super::LogOffset;
use super::installation::Installation;
use crate::records::{History, Run, RunEnd};

impl Installation {
    /// Returns the history up to now.
    pub(crate) fn snapshot(&self, is_over: bool) -> History {
        // The runs are read last: every run that an answer refers to was recorded at its target before the answer.
        let mut history = self.recorder.lock().clone();
        history.now = self.recorder.now();
        history.is_over = is_over;
        for (index, target) in self.targets.iter().enumerate() {
            let runs = target.list_runs().into_iter().map(|run| Run {
                job: run.job,
                task: run.task,
                number: run.number,
                target: index,
                incarnation: run.incarnation,
                started_at: self.recorder.elapsed_at(run.started_at),
                is_late: run.is_late,
                end: run
                    .end
                    .map(|(at, end)| (self.recorder.elapsed_at(at), convert_end(end))),
            });
            history.runs.extend(runs);
        }
        history
    }

    /// Records the current length of each log.
    pub(crate) fn record_log_offsets(&self, log_offsets: &mut Vec<LogOffset>) {
        let at = self.recorder.now();
        for slot in &self.slots {
            let log = self.layout.log(slot.process);
            let len = std::fs::metadata(&log).map_or(0, |metadata| metadata.len());
            log_offsets.push(LogOffset { at, log, len });
        }
    }
}

fn convert_end(end: RunEndCause) -> RunEnd {
    match end {
        RunEndCause::Done => RunEnd::Done,
        RunEndCause::Failed => RunEnd::Failed,
        RunEndCause::Stopped => RunEnd::Stopped,
        RunEndCause::Lapsed => RunEnd::Lapsed,
        RunEndCause::Died => RunEnd::Died,
    }
}
