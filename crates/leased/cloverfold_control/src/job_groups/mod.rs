//! The groups that keep jobs, as far as this process hosts them.
//!
//! [`GroupHost`] owns one replica of one group: its log and disk, its table, and, while it leads, the drivers, the commands on their way
//! and the calls that wait. It sends nothing itself: what is to be sent comes out as [`GroupEffect`]s. It relies on
//! `cloverfold_kept_jobs` for every decision about jobs and drivers, and on `cloverfold_consensus` for the log.
//!
//! | file | duty |
//! |---|---|
//! | `group` | one replica: ticks, messages, the disk, what is committed |
//! | `calls` | which calls are taken, refused, answered |
//! | `applying` | what a committed command changes, and who is told |
//! | `leading` | what only a leader has, and its regular work |
//! | `batches`, `reads`, `watches` | commands and calls that wait |
//! | `view` | what a group shows |
//! | `ended` | when ended jobs are forgotten |

mod apply;
mod batches;
mod calls;
mod group;
mod leader;
mod reads;
mod retention;
mod status;
mod watches;

use std::net::SocketAddr;

use cloverfold_consensus::{Message, ReplicaId};
use cloverfold_kept_jobs::{CallToken, JobReply, RenewalReply};
use cloverfold_link::LinkId;

pub(crate) use self::group::{GroupHost, GroupSettings};

/// Who made a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Caller {
    /// The process at the other end of a link, under its token.
    Peer {
        /// The link.
        link: LinkId,
        /// Its token.
        token: CallToken,
    },
    /// An operator's call to this process.
    Operator(CallToken),
}

/// What a group wants done.
#[derive(Debug)]
pub(crate) enum GroupEffect {
    /// Send a message to another replica.
    Send(ReplicaId, Box<Message>),
    /// Answer a call.
    Answer(Caller, JobReply),
    /// Tell an entry unasked, if it is connected, what it has to drive or drop.
    Push {
        /// The name of the entry.
        entry: String,
        /// What it is told.
        reply: RenewalReply,
    },
    /// A voter of the group is at this address.
    Dial(SocketAddr),
}
