//! The runner: executes at one target what dispatchers assign.
//!
//! A runner serves the leased guard, which does the I/O around it. It accepts or refuses assignments, starts and stops runs, renews
//! the target's lease, and reports ends.
//! Owns the sessions with dispatchers, the runs at the target, and what is known of the target. Nothing is stored.
//! Relies on the caller's clock, which must not go back, and on [`Runner::tick`] every few tens of milliseconds.
//!
//! | decision | module |
//! |---|---|
//! | which assignments are accepted | `assignment` |
//! | which waiting run starts, when one is given back | `waiting` |
//! | when a start is repeated | `starts`, `run` |
//! | what follows a refused start | `refused_start` |
//! | when a stop is repeated | `stops` |
//! | when the end of a run is certain | `ending`, `unlisted` |
//! | whether a run is stuck, how fast it is | `progress` |
//! | whether the target is paused or on probation, how slow it is | `performance` |
//! | whether the target accepts work, when its lease has lapsed, when the fencing token rises | `target_incarnation` |
//! | which incarnation is the target | `candidates` |
//! | what another incarnation under the same name does to runs | `succession` |
//! | how fast the target usually is | `usual_speed` |
//! | whether the target is unresponsive | `target` |
//! | when a lease is extended | `renewals` |
//! | how long to wait between two renewals | `renewal_pace` |
//! | when a session is over | `sessions` |
//! | when the target is announced to a dispatcher | `reports` |
//! | which ends the target must not forget yet | `held_ends` |
//! | when the lease is left to lapse | `lapses` |
//! | what an evacuation of the data hall changes | `evacuation` |
//! | what the coming upkeep of the box changes | `upkeep` |
//! | what a suspension of the box changes | `suspension` |
//! | what a stall of this process changes | `own_stall` |

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
mod succession;
mod suspension;
mod target;
mod target_incarnation;
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
use upkeep::HeldTarget;
use usual_speed::UsualSpeeds;

/// Executes what dispatchers assign at the one target beside it.
///
/// It does no I/O: after each call the caller carries out [`Runner::take_actions`].
#[derive(Debug)]
pub struct Runner {
    timings: Timings,
    kept_timings: KeptJobTimings,
    /// The fencing token with which each incarnation of the target is first spoken to.
    first_fencing_token: u64,
    sessions: BTreeMap<SessionId, Session>,
    /// All runs whose end is not certain, at most one of each task.
    runs: BTreeMap<TaskId, Run>,
    /// Numbers runs and incarnations of the target in order of arrival.
    next_sequence: u64,
    target: Option<TargetIncarnation>,
    candidates: Candidates,
    usual_speeds: UsualSpeeds,
    renewal_pace: RenewalPace,
    /// Earlier incarnations of the target, oldest first.
    ended_incarnations: VecDeque<IncarnationId>,
    catch_up: CatchUp,
    /// When a target was heard of first: an earlier process beside it has ordered nothing later.
    first_heard_at: Option<Timestamp>,
    is_draining: bool,
    /// Whether the data hall is evacuated.
    is_evacuated: bool,
    /// Set while the box is about to have its upkeep.
    held: Option<HeldTarget>,
    counts: RunnerCounts,
    actions: Vec<RunnerAction>,
}

impl Runner {
    /// Makes a runner without sessions or a target.
    ///
    /// `first_fencing_token` should be above that of every earlier process beside the same target; if it is not, the target's refusals
    /// raise it.
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
            usual_speeds: UsualSpeeds::default(),
            renewal_pace: RenewalPace::default(),
            ended_incarnations: VecDeque::new(),
            catch_up: CatchUp::default(),
            first_heard_at: None,
            is_draining: false,
            is_evacuated: false,
            held: None,
            counts: RunnerCounts::default(),
            actions: Vec::new(),
        }
    }

    /// Returns what the caller has to do since the last call, in order.
    pub fn take_actions(&mut self) -> Vec<RunnerAction> {
        std::mem::take(&mut self.actions)
    }

    /// Returns the counts since the start.
    pub fn counts(&self) -> RunnerCounts {
        self.counts
    }

    /// Returns how many runs are not certainly over, those that wait or are being stopped included.
    pub fn run_count(&self) -> usize {
        self.runs.len()
    }

    /// Returns whether there is a target that accepts work.
    pub fn has_ready_target(&self) -> bool {
        self.find_unavailable_reason().is_none()
    }

    /// Returns what runs at the target, whether it gets work or not; `None` while there is none.
    pub fn service(&self) -> Option<&str> {
        let target = self.target.as_ref();
        target.map(|target| target.registration.service.as_str())
    }

    /// Returns what dispatchers are told of the target, whether it gets work or not; `None` while there is none.
    pub fn describe_target(&self) -> Option<TargetDescription> {
        self.target.as_ref().map(TargetIncarnation::describe)
    }

    /// Returns how fast the target usually is; nothing is known at first.
    pub fn usual_speed(&self) -> UsualSpeed {
        self.usual_speeds.known()
    }

    /// Returns why the target gets no work, if there is a reason.
    pub fn find_unavailable_reason(&self) -> Option<UnavailableReason> {
        let Some(target) = &self.target else {
            return Some(UnavailableReason::NoTarget);
        };
        let reason = target.find_unavailable_reason();
        let reason = reason.or(self.is_evacuated.then_some(UnavailableReason::Evacuated));
        reason.or(self.is_held().then_some(UnavailableReason::Upkeep))
    }

    /// Begins draining: no further work is accepted, waiting runs are returned to their dispatchers, and started runs go on.
    pub fn begin_draining(&mut self, now: Timestamp) {
        self.is_draining = true;
        self.give_back_waiting(RunRefusal::Draining, now);
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

    /// Does what has fallen due; call it every few tens of milliseconds.
    pub fn tick(&mut self, now: Timestamp) {
        self.expire_sessions(now);
        self.check_responsiveness(now);
        self.end_target_pause(now);
        self.end_hold(now);
        self.expire_waiting(now);
        self.repeat_unanswered_starts(now);
        self.repeat_stops(now);
        self.check_withheld_lease(now);
        self.send_heartbeats(now);
        self.start_waiting(now);
        self.report_free_capacity(now);
        self.report_usual_speed();
    }
}
