//! One log line for each decision of the dispatcher, with what decided it.

use std::time::Duration;

use cloverfold_configuration::Version;
use cloverfold_lease::DispatcherEvent;

fn ms(span: &Duration) -> u64 {
    span.as_millis() as u64
}

/// Logs a decision; `version` is that of the configuration in force.
pub(crate) fn log_event(event: &DispatcherEvent, version: Version) {
    match event {
        DispatcherEvent::Refused {
            job,
            cause,
            waited,
            targets,
            waiting,
            oldest_report,
        } => {
            log::info!(
                job = job.as_str(), cause = cause.as_str(), held_ms = ms(waited),
                ready_targets = targets.ready, targets = targets.connected, waiting,
                oldest_report_ms = ms(oldest_report), version;
                "a job is refused"
            );
        }
        DispatcherEvent::GivenUp {
            job,
            age,
            open_tasks,
        } => {
            log::info!(job = job.as_str(), age_ms = ms(age), open_tasks, version; "a job is given up");
        }
        DispatcherEvent::RunEnded {
            task,
            run,
            runner,
            outcome,
            failures,
        } => {
            let outcome = outcome.to_string();
            log::info!(
                job = task.job.as_str(), step = task.step, index = task.index, run,
                runner = runner.as_str(), outcome = outcome.as_str(), failures;
                "a run is over and not done"
            );
        }
        DispatcherEvent::RunOverdue {
            task,
            run,
            runner,
            age,
            estimate,
        } => {
            log::info!(
                job = task.job.as_str(), step = task.step, index = task.index, run,
                runner = runner.as_str(), age_ms = ms(age), estimate_ms = ms(estimate);
                "a run is overdue and withdrawn"
            );
        }
        DispatcherEvent::RunMoved {
            task,
            run,
            runner,
            age,
            slowness_permille,
            report_age,
        } => {
            log::info!(
                job = task.job.as_str(), step = task.step, index = task.index, run,
                runner = runner.as_str(), age_ms = ms(age), slowness_permille,
                report_age_ms = ms(report_age);
                "a run is withdrawn from a slow target"
            );
        }
        DispatcherEvent::SessionLost {
            runner,
            runs,
            jobs,
            last_echo,
        } => {
            log::warn!(
                runner = runner.as_str(), runs, jobs = jobs.join(",").as_str(),
                last_echo_ms = ms(last_echo);
                "a session is lost with runs under way"
            );
        }
        DispatcherEvent::TargetPaused { runner } => {
            log::warn!(runner = runner.as_str(); "a target gets no work for a while");
        }
    }
}
