//! The replicated groups of kept jobs that this process hosts.
//!
//! [`GroupHost`] is one replica of one group: its log and disk, its job table and, while it leads, the drivers, queued commands and pending
//! calls. It performs no network I/O and returns [`GroupEffect`]s instead. `cloverfold_kept_jobs` implements the state machine of jobs and
//! drivers, `cloverfold_consensus` the log.
//!
//! | module | responsibility |
//! |---|---|
//! | `group` | event handling of one replica |
//! | `calls` | calls on the leader |
//! | `apply` | application of committed commands |
//! | `leader` | leader state and periodic work |
//! | `batches`, `reads`, `watches` | queued commands, pending reads, calls that wait for the end of a job |
//! | `status` | accessors for status and metrics |
//! | `retention` | removal of ended jobs |

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

/// The origin of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Caller {
    /// Another process.
    Peer {
        /// The link to the process.
        link: LinkId,
        /// The token that the process chose.
        token: CallToken,
    },
    /// An operator's call to this process.
    Operator(CallToken),
}

/// An action that a group requests from its owner.
#[derive(Debug)]
pub(crate) enum GroupEffect {
    /// Sends a message to another replica.
    Send(ReplicaId, Box<Message>),
    /// Replies to a call.
    Answer(Caller, JobReply),
    /// Sends an unsolicited renewal reply to an entry, if it is connected.
    Push {
        /// The name of the entry.
        entry: String,
        /// The jobs to drive or drop.
        reply: RenewalReply,
    },
    /// Dials a voter of the group.
    Dial(SocketAddr),
}
