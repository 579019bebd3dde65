//! Rules of a dispatcher, one file for each topic.

#![allow(clippy::unwrap_used)]

mod admission;
mod evacuation;
mod fixture;
mod grace;
mod judging;
mod kept_jobs;
mod own_stall;
mod placement;
mod returned_callers;
mod run_ends;
mod sessions;
mod shortage;
mod startup;
mod unlike_boxes;
