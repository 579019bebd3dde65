//! Calls to the platform while this process runs the upkeep scheduler.
//!
//! Before every call, this process confirms with a linearizable read that it still leads in the scheduler's term, and makes the call only
//! if the read took at most [`MAX_CONFIRMATION_AGE`]. A leader that was deposed, partitioned or suspended must not make calls while its
//! successor does. Together with [`CALL_TIMEOUT`] this bounds how long after an election a call of an earlier leader can still be in
//! flight; a new scheduler waits that long ([`scheduler_timings`]).
//!
//! Without an open wave the task wakes up only for new log entries and makes no calls.

use std::sync::Arc;
use std::time::Duration;

use cloverfold_consensus::Term;
use cloverfold_leased_process::Shared;
use cloverfold_leased_settings::UpkeepSettings;
use cloverfold_upkeep::{
    CallOutcome, ListError, ListedBox, SchedulerAction, SchedulerTimings, UpkeepCall, WaveBox,
};
use tokio::time::{sleep, timeout};

use crate::operators::OperatorInterface;
use crate::state::ControlState;

/// Interval at which the scheduler runs while a wave is open.
const SCHEDULER_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum age of the leadership confirmation before a call.
const MAX_CONFIRMATION_AGE: Duration = Duration::from_millis(500);
/// Timeout of a call or of reading a page, including the time to connect.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Maximum number of pages in one reading; guards against a list that never ends.
const MAX_PAGES: usize = 2_000;

/// Makes the scheduler's calls to the platform.
pub(crate) struct UpkeepCaller {
    state: Shared<ControlState>,
    interface: Arc<dyn OperatorInterface>,
    settings: UpkeepSettings,
    name: String,
}

impl UpkeepCaller {
    pub(crate) fn new(
        state: Shared<ControlState>,
        interface: Arc<dyn OperatorInterface>,
        settings: UpkeepSettings,
        name: String,
    ) -> Self {
        Self {
            state,
            interface,
            settings,
            name,
        }
    }

    /// Runs the scheduler while a wave is open, as long as the process runs.
    pub(crate) async fn run(self) {
        let caller = Arc::new(self);
        let mut applied = caller.state.lock().subscribe_applied();
        loop {
            if caller.state.lock().has_open_wave() {
                caller.run_scheduler().await;
                sleep(SCHEDULER_INTERVAL).await;
            } else {
                // Fails only without a sender, which the state owns.
                let _ = applied.changed().await;
            }
        }
    }

    async fn run_scheduler(self: &Arc<Self>) {
        let term = self.state.lock().leading_term();
        let is_scheduling = self.state.lock().runs_upkeep_scheduler(term);
        let Some(term) = term else {
            return;
        };
        if !is_scheduling {
            if self.confirm_leadership(term).await {
                let timings = scheduler_timings(&self.settings);
                self.state.lock().start_upkeep_scheduler(term, timings);
            }
            return;
        }
        let actions = self.state.lock().take_upkeep_actions();
        for action in actions {
            let caller = self.clone();
            match action {
                SchedulerAction::Call(key) => {
                    tokio::spawn(async move { caller.call(term, &key).await });
                }
                SchedulerAction::ReadList => {
                    tokio::spawn(async move { caller.read_boxes(term).await });
                }
                // The state has already performed these.
                SchedulerAction::Propose(_)
                | SchedulerAction::HoldTarget(_)
                | SchedulerAction::QueryLoad(_)
                | SchedulerAction::BoxSelected(_) => {}
            }
        }
    }

    /// Confirms with a linearizable read that this process leads in a term and has applied all entries committed before.
    async fn confirm_leadership(&self, term: Term) -> bool {
        let began = self.state.lock().now();
        let read = self.state.lock().begin_read();
        let Ok(Ok(Some(index))) = timeout(MAX_CONFIRMATION_AGE, read).await else {
            return false;
        };
        let mut applied = self.state.lock().subscribe_applied();
        let is_applied = applied.wait_for(|applied| *applied >= index);
        if !matches!(timeout(MAX_CONFIRMATION_AGE, is_applied).await, Ok(Ok(_))) {
            return false;
        }
        let state = self.state.lock();
        let age = state.now().saturating_duration_since(began);
        state.leading_term() == Some(term) && age <= MAX_CONFIRMATION_AGE
    }

    async fn call(&self, term: Term, key: &WaveBox) {
        let call = UpkeepCall {
            address: self.settings.address,
            name: key.1.clone(),
            wave: key.0,
            holder: self.name.clone(),
            fencing_token: term,
            timeout: CALL_TIMEOUT,
        };
        let outcome = if self.confirm_leadership(term).await {
            self.interface.call_upkeep(&call).await
        } else {
            CallOutcome::NotSent
        };
        self.state.lock().record_upkeep_call(term, key, outcome);
    }

    async fn read_boxes(&self, term: Term) {
        let began_at = self.state.lock().now();
        let boxes = read_list(&*self.interface, &self.settings).await;
        let mut state = self.state.lock();
        state.count_upkeep(reading_outcome(&boxes));
        if let Err(cause) = &boxes {
            log::warn!(cause = cause.to_string().as_str(); "cannot read the list of boxes");
        }
        state.record_box_list(term, boxes.ok(), began_at);
    }
}

/// Reads all pages of the list at half of the platform's rate limit.
///
/// # Errors
///
/// Returns an error if a page cannot be read or there are too many pages.
pub(crate) async fn read_list(
    interface: &dyn OperatorInterface,
    settings: &UpkeepSettings,
) -> Result<Vec<ListedBox>, ListError> {
    let mut boxes = Vec::new();
    let mut next: Option<String> = None;
    for _ in 0..MAX_PAGES {
        let page = interface
            .read_boxes(settings.address, next.as_deref(), CALL_TIMEOUT)
            .await?;
        boxes.extend(page.boxes);
        next = page.next;
        if next.is_none() {
            return Ok(boxes);
        }
        sleep(settings.reading_interval()).await;
    }
    Err(ListError::Failed("the list does not end".into()))
}

/// Derives the scheduler's timings from the settings.
fn scheduler_timings(settings: &UpkeepSettings) -> SchedulerTimings {
    SchedulerTimings {
        maintenance: settings.maintenance_duration(),
        takeover_delay: settings.takeover_delay() + MAX_CONFIRMATION_AGE + CALL_TIMEOUT,
        list_lag: settings.list_lag(),
        drain_time: settings.drain_duration(),
        call_spacing: settings.call_interval(),
    }
}

fn reading_outcome(outcome: &Result<Vec<ListedBox>, ListError>) -> &'static str {
    match outcome {
        Ok(_) => "ListRead",
        Err(ListError::TooMany) => "ListTooMany",
        Err(ListError::Failed(_)) => "ListFailed",
    }
}
