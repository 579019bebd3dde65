//! How long a process may be stalled (frozen or starved of processor time) before its state counts as out of date.
//!
//! Owns no state. Relies on both measures being taken between two calls of the same process, by its own steady clock.
//!
//! There are two limits since the two reactions cost differently:
//!
//! | limit | what is distrusted | reaction | cost if it was needless |
//! |---|---|---|---|
//! | [`REQUEST_STALL`], 300 ms | requests that arrived during the stall: their callers may have sent them elsewhere | the entry refuses them (`EntryState::submit`) | one more attempt; nothing has run |
//! | [`JOB_STALL`], 700 ms | open jobs: their callers may have left and sent them elsewhere | the dispatcher gives all of them up (`Dispatcher::give_up_after_stall`) | the work that was done for them |
//!
//! Both must stay well below the time after which a caller sends again ([`DEFAULT_RESEND`](crate::DEFAULT_RESEND), 1,300 ms).

use std::time::Duration;

/// A gap between two ticks of an entry from which it refuses the requests that it reads before its next tick. Chosen, not measured.
pub const REQUEST_STALL: Duration = Duration::from_millis(300);

/// A gap between two calls of a dispatcher from which it gives up all open jobs.
///
/// The rule was found by the simulated world (incident 4, two runs of a task after a stall). The value was chosen, not measured.
pub const JOB_STALL: Duration = Duration::from_millis(700);
