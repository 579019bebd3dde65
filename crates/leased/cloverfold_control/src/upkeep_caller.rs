//! The calls to the platform while this process holds the upkeep.
//!
//! Decision: whether a call may go out. Rule: this process has proved just before, and not longer than [`MAX_CONFIRMATION_AGE`] ago, that it
//! leads in the term whose holder wants the call. Inputs: a read proof of the log, the term, the clock of the process. Reason: a leader that
//! was deposed, cut off or frozen must not call while its successor does; together with [`CALL_TIMEOUT`] the age bounds how long after an
//! election the last call of an earlier leader can go out, and a new holder waits that long ([`holder_timings`]).
//!
//! Without an open wave nothing here wakes up but for entries of the log, and nothing is called or read. Owns no state.

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

/// How often the holder looks what is due while a wave is open. Chosen, not measured.
const STEP_INTERVAL: Duration = Duration::from_millis(50);
/// Longest age of a proof that a call rests on. Chosen, not measured.
const MAX_CONFIRMATION_AGE: Duration = Duration::from_millis(500);
/// Longest wait for the answer to a call or a page, the time to connect included. Chosen, not measured.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Most pages of one reading. Guards against a list that never ends. Chosen, not measured.
const MAX_PAGES: usize = 2_000;

/// Makes the calls of the holder.
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

    /// Does what the holder wants for as long as the process runs.
    pub(crate) async fn run(self) {
        let caller = Arc::new(self);
        let mut applied = caller.state.lock().follow_applied();
        loop {
            if caller.state.lock().has_open_wave() {
                caller.take_steps().await;
                sleep(STEP_INTERVAL).await;
            } else {
                // This fails only without a sender, and the state owns it.
                let _ = applied.changed().await;
            }
        }
    }

    async fn take_steps(self: &Arc<Self>) {
        let term = self.state.lock().leading_term();
        let is_holder = self.state.lock().holds_upkeep(term);
        let Some(term) = term else {
            return;
        };
        if !is_holder {
            if self.confirm_leadership(term).await {
                let timings = holder_timings(&self.settings);
                self.state.lock().hold_upkeep(term, timings);
            }
            return;
        }
        let steps = self.state.lock().take_upkeep_steps();
        for step in steps {
            let caller = self.clone();
            match step {
                SchedulerAction::Call(key) => {
                    tokio::spawn(async move { caller.call(term, &key).await });
                }
                SchedulerAction::ReadList => {
                    tokio::spawn(async move { caller.read_boxes(term).await });
                }
                // The state has carried these out.
                SchedulerAction::Propose(_)
                | SchedulerAction::HoldTarget(_)
                | SchedulerAction::QueryLoad(_)
                | SchedulerAction::BoxChosen(_) => {}
            }
        }
    }

    /// Returns whether this process has just proved that it leads in a term, with all before it applied.
    async fn confirm_leadership(&self, term: Term) -> bool {
        let began = self.state.lock().now();
        let proof = self.state.lock().begin_read();
        let Ok(Ok(Some(index))) = timeout(MAX_CONFIRMATION_AGE, proof).await else {
            return false;
        };
        let mut applied = self.state.lock().follow_applied();
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
        self.state.lock().upkeep_call_ended(term, key, outcome);
    }

    async fn read_boxes(&self, term: Term) {
        let began_at = self.state.lock().now();
        let boxes = read_list(&*self.interface, &self.settings).await;
        let mut state = self.state.lock();
        state.count_upkeep(reading_outcome(&boxes));
        if let Err(cause) = &boxes {
            log::warn!(cause = cause.to_string().as_str(); "the list of boxes cannot be read");
        }
        state.boxes_read(term, boxes.ok(), began_at);
    }
}

/// Reads the whole list, page after page, at half of the platform's rate.
///
/// # Errors
///
/// Returns why a page cannot be read, also if there are too many.
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

/// Returns the spans that a holder keeps under these settings.
fn holder_timings(settings: &UpkeepSettings) -> SchedulerTimings {
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
