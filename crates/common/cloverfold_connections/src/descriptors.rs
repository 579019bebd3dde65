//! How the file descriptors of a process are shared between its listeners.

use rustix::process::{Resource, getrlimit};

/// Maximum connections of a listener for readiness checks or metrics.
const MAX_OPERATIONS: usize = 64;
/// Maximum links that have not identified themselves.
const MAX_UNIDENTIFIED_LINKS: usize = 512;

/// Maximum number of connections of each kind. What they leave of the descriptors is for links to known processes, calls and files.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DescriptorPlan {
    /// Connections of clients.
    pub clients: usize,
    /// Connections of each listener for readiness checks or metrics.
    pub operations: usize,
    /// Accepted links whose peer has not identified itself.
    pub unidentified_links: usize,
}

impl DescriptorPlan {
    /// Divides a number of descriptors.
    pub fn new(descriptors: usize) -> Self {
        Self {
            clients: descriptors / 2,
            operations: (descriptors / 16).clamp(1, MAX_OPERATIONS),
            unidentified_links: (descriptors / 8).clamp(1, MAX_UNIDENTIFIED_LINKS),
        }
    }

    /// Divides the descriptors that this process may open.
    pub fn of_process() -> Self {
        let limit = getrlimit(Resource::Nofile).current;
        // Without a limit, the fixed maximums and the settings apply.
        let descriptors = limit.and_then(|limit| usize::try_from(limit).ok());
        Self::new(descriptors.unwrap_or(usize::MAX))
    }
}
