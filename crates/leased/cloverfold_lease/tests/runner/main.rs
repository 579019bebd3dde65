//! Tests of the runner's rules, one at a time and with a simulated clock.

#![allow(clippy::unwrap_used)]

mod any_order;
mod assignments;
mod evacuation;
mod fixture;
mod incarnations;
mod kept_runs;
mod leftover_runs;
mod own_stall;
mod renewal_pace;
mod sessions;
mod start_reports;
mod starts;
mod stops;
mod stuck_runs;
mod suspension;
mod target;
mod upkeep;
mod usual_speed;
