//! The runner, which executes the assignments of dispatchers at one target.
//!
//! The guard process does the I/O around it. The runner accepts or refuses assignments, starts and stops runs, renews the target's lease,
//! and reports ends. It persists nothing. The caller must provide a monotonic clock and call [`Runner::tick`] every few tens of
//! milliseconds.
//!
//! | decision | module |
//! |---|---|
//! | which assignments are accepted | `assignment` |
//! | which waiting run starts, and when one is refused | `waiting` |
//! | when a start is retried | `starts`, `run` |
//! | what follows a refused start | `refused_start` |
//! | when a stop is retried | `stops` |
//! | when the end of a run is certain | `ending`, `unlisted` |
//! | whether a run is stuck, and how fast it is | `progress` |
//! | whether the target is paused or on probation, and how slow it is | `performance` |
//! | whether the target accepts work, when its lease has lapsed, when the fencing token rises | `target_incarnation` |
//! | which incarnation is the live target | `candidates` |
//! | what happens to runs when the target restarts under the same name | `target_restart` |
//! | how fast the target usually is | `usual_speed` |
//! | whether the target is unresponsive | `target` |
//! | when a lease is extended | `renewals` |
//! | how long to pause between two renewals | `renewal_pace` |
//! | when a session expires | `sessions` |
//! | when the target is announced to a dispatcher | `reports` |
//! | which ends the target must keep listing | `held_ends` |
//! | when the lease is withheld | `lapses` |
//! | what changes while the data hall is evacuated | `evacuation` |
//! | what changes before the upkeep of the box | `upkeep` |
//! | what changes after a suspension of the box | `suspension` |
//! | what changes after a stall of this process | `own_stall` |

mod actions;
mod answers;
mod assignment;
mod candidates;
mod counts;
mod ending;
mod evacuation;
mod held_ends;
mod incarnation_id;
mod lapses;
mod listing;
mod orders;
mod own_stall;
mod performance;
mod progress;
mod refused_start;
mod renewal_pace;
mod renewals;
mod reports;
mod run;
mod session;
mod sessions;
mod starts;
mod stops;
mod stuck_runs;
mod suspension;
mod target;
mod target_incarnation;
mod target_restart;
mod unlisted;
mod upkeep;
mod usual_speed;
mod waiting;

use std::collections::{BTreeMap, VecDeque};

pub use actions::RunnerAction;
pub use answers::{
    EndCause, EndedRun, ListedRun, RenewalAnswer, StartAnswer, StartRefusal, TargetRegistration,
};
pub use counts::{
    ProcessorUse, RegistrationCounts, RegistrationVerdict, RunnerCounts, TargetCallCounts,
};
pub use incarnation_id::{IncarnationId, StartTimeMs};
pub use orders::{RenewalOrder, StartOrder, StopOrder};
pub use renewal_pace::RenewalPause;
pub use target_incarnation::UnavailableReason;

use cloverfold_base::Timestamp;
use cloverfold_kept_jobs::KeptJobTimings;

use crate::messages::{
    DispatcherMessage, RunRefusal, SessionId, TargetDescription, TaskId, UsualSpeed,
};
use crate::stall::CatchUp;
use crate::timings::Timings;
use candidates::Candidates;
use renewal_pace::RenewalPace;
use run::Run;
use session::Session;
use target_incarnation::TargetIncarnation;
use upkeep::UpkeepHold;
use usual_speed::UsualSpeedEstimator;

/// Executes the assignments of dispatchers at the one target beside it.
///
/// It does no I/O: after each call the caller carries out [`Runner::take_actions`].
#[derive(Debug)]
pub struct Runner {
    timings: Timings,
    kept_timings: KeptJobTimings,
    /// The initial fencing token for each incarnation of the target.
    first_fencing_token: u64,
    sessions: BTreeMap<SessionId, Session>,
    /// All runs whose end is not certain, at most one per task.
    runs: BTreeMap<TaskId, Run>,
    /// Numbers runs and incarnations of the target in order of arrival.
    next_sequence: u64,
    target: Option<TargetIncarnation>,
    candidates: Candidates,
    usual_speed_estimator: UsualSpeedEstimator,
    renewal_pace: RenewalPace,
    /// Earlier incarnations of the target, oldest first.
    ended_incarnations: VecDeque<IncarnationId>,
    catch_up: CatchUp,
    /// When the first registration arrived; earlier processes beside the target have sent no order since.
    first_registration_at: Option<Timestamp>,
    is_draining: bool,
    /// Whether the data hall is evacuated.
    is_evacuated: bool,
    /// Set while the target is held before the upkeep of the box.
    upkeep_hold: Option<UpkeepHold>,
    counts: RunnerCounts,
    actions: Vec<RunnerAction>,
}

impl Runner {
    /// Creates a runner without sessions or a target.
    ///
    /// `first_fencing_token` should be above that of every earlier process beside the same target; otherwise the target's refusals raise
    /// it.
    pub fn new(timings: Timings, first_fencing_token: u64) -> Self {
        Self {
            timings,
            kept_timings: KeptJobTimings::default(),
            first_fencing_token,
            sessions: BTreeMap::new(),
            runs: BTreeMap::new(),
            next_sequence: 0,
            target: None,
            candidates: Candidates::default(),
            usual_speed_estimator: UsualSpeedEstimator::default(),
            renewal_pace: RenewalPace::default(),
            ended_incarnations: VecDeque::new(),
            catch_up: CatchUp::default(),
            first_registration_at: None,
            is_draining: false,
            is_evacuated: false,
            upkeep_hold: None,
            counts: RunnerCounts::default(),
            actions: Vec::new(),
        }
    }

    /// Returns the actions since the last call, in order.
    pub fn take_actions(&mut self) -> Vec<RunnerAction> {
        std::mem::take(&mut self.actions)
    }

    /// Returns the counters since the start.
    pub fn counts(&self) -> RunnerCounts {
        self.counts
    }

    /// Returns the number of runs whose end is not certain, including those that wait or are being stopped.
    pub fn run_count(&self) -> usize {
        self.runs.len()
    }

    /// Returns whether there is a target that accepts work.
    pub fn has_ready_target(&self) -> bool {
        self.find_unavailable_reason().is_none()
    }

    /// Returns the service of the target, whether it gets work or not; `None` without a target.
    pub fn service(&self) -> Option<&str> {
        let target = self.target.as_ref();
        target.map(|target| target.registration.service.as_str())
    }

    /// Returns the description of the target for dispatchers, whether it gets work or not; `None` without a target.
    pub fn describe_target(&self) -> Option<TargetDescription> {
        self.target.as_ref().map(TargetIncarnation::describe)
    }

    /// Returns how fast the target usually is; the default while that is unknown.
    pub fn usual_speed(&self) -> UsualSpeed {
        self.usual_speed_estimator.current()
    }

    /// Returns why the target gets no work, if there is a reason.
    pub fn find_unavailable_reason(&self) -> Option<UnavailableReason> {
        let Some(target) = &self.target else {
            return Some(UnavailableReason::NoTarget);
        };
        let reason = target.find_unavailable_reason();
        let reason = reason.or(self.is_evacuated.then_some(UnavailableReason::Evacuated));
        reason.or(self.is_target_held().then_some(UnavailableReason::Upkeep))
    }

    /// Begins draining: no further work is accepted, waiting runs are refused, and started runs go on.
    pub fn begin_draining(&mut self, now: Timestamp) {
        self.is_draining = true;
        self.refuse_waiting(RunRefusal::Draining, now);
        self.announce_target();
    }

    /// Processes a message of a dispatcher.
    pub fn receive(&mut self, session: SessionId, message: DispatcherMessage, now: Timestamp) {
        self.expire_sessions(now);
        match message {
            DispatcherMessage::Echo { clock } => self.receive_echo(session, clock, now),
            DispatcherMessage::Assign(assignment) => self.assign(session, assignment, None, now),
            DispatcherMessage::Withdraw { task, run } => self.withdraw(session, &task, run, now),
            DispatcherMessage::AssignKept(kept) => self.assign_kept(session, kept, now),
        }
    }

    /// Processes timeouts, retries and periodic reports that are due; call it every few tens of milliseconds.
    pub fn tick(&mut self, now: Timestamp) {
        self.expire_sessions(now);
        self.check_responsiveness(now);
        self.end_target_pause(now);
        self.expire_hold(now);
        self.expire_waiting(now);
        self.retry_unanswered_starts(now);
        self.retry_stops(now);
        self.check_withheld_lease(now);
        self.send_heartbeats(now);
        self.start_waiting(now);
        self.report_free_capacity(now);
        self.report_usual_speed();
    }
}
