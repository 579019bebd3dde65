//! All that was seen up to now, with the runs that targets keep, and how long the logs are.

use cloverfold_stand_ins::target::RunEndCause;

use super::LogOffset;
use super::installation::Installation;
use crate::records::{History, Run, RunEnd};

impl Installation {
    /// Returns all that was seen so far.
    pub(crate) fn snapshot(&self, is_over: bool) -> History {
        // The runs are read last: whatever an answer tells was at a target before.
        let mut history = self.recorder.lock().clone();
        history.now = self.recorder.now();
        history.is_over = is_over;
        for (index, target) in self.targets.iter().enumerate() {
            let runs = target.list_runs().into_iter().map(|seen| Run {
                job: seen.job,
                task: seen.task,
                number: seen.number,
                target: index,
                incarnation: seen.incarnation,
                started_at: self.recorder.time_of(seen.started_at),
                is_late: seen.is_late,
                end: seen
                    .end
                    .map(|(at, end)| (self.recorder.time_of(at), read_end(end))),
            });
            history.runs.extend(runs);
        }
        history
    }

    /// Takes down how long all logs are now.
    pub(crate) fn record_log_offsets(&self, log_offsets: &mut Vec<LogOffset>) {
        let at = self.recorder.now();
        for slot in &self.slots {
            let log = self.layout.log(slot.process);
            let len = std::fs::metadata(&log).map_or(0, |found| found.len());
            log_offsets.push(LogOffset { at, log, len });
        }
    }
}

fn read_end(end: RunEndCause) -> RunEnd {
    match end {
        RunEndCause::Done => RunEnd::Done,
        RunEndCause::Failed => RunEnd::Failed,
        RunEndCause::Stopped => RunEnd::Stopped,
        RunEndCause::Lapsed => RunEnd::Lapsed,
        RunEndCause::Died => RunEnd::Died,
    }
}
