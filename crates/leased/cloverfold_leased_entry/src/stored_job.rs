//! The stored form of a kept job, from which any entry can drive it later.
//!
//! It holds the request as the caller sent it, and the attributes of its queue at submission. If the configuration in force has a
//! queue of that name, its current attributes apply, because moving a queue to another service also moves its jobs; the dispatcher applies
//! later changes to the jobs that are driven already ([`Dispatcher::update_queues`](cloverfold_lease::Dispatcher::update_queues)).
//! Otherwise the stored ones apply, so that an accepted job can run after its queue was removed. The maximum number of attempts is always
//! the stored one, because the group counts failures against it.
//!
//! It is encoded with postcard, so the order of the fields must not change.

use std::time::Duration;

use cloverfold_configuration::{Configuration, Route};
use serde::{Deserialize, Serialize};

/// The stored form of a kept job. The order of the fields is the format on disk and on the wire.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredJob {
    /// Name of the queue.
    pub queue: String,
    /// Service of the queue.
    pub service: String,
    /// Priority of the queue; 0 is the most urgent.
    pub priority: u32,
    /// Number of failures of one task after which the job has failed.
    pub max_attempts: u32,
    /// Factor on the duration of the work in the latency objective.
    pub stretch: f64,
    /// Constant part of the latency objective, in milliseconds.
    pub allowance_ms: u64,
    /// Body of the caller's request.
    pub text: Vec<u8>,
}

impl StoredJob {
    /// Returns the stored form of a job that was submitted to a queue.
    pub fn new(route: &Route, text: &[u8]) -> Self {
        Self {
            queue: route.name.clone(),
            service: route.service.clone(),
            priority: route.priority,
            max_attempts: route.max_attempts,
            stretch: route.stretch,
            allowance_ms: route.allowance.as_millis() as u64,
            text: text.into(),
        }
    }

    /// Encodes the job.
    ///
    /// # Panics
    ///
    /// Never panics: every job can be encoded.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("a job in memory can be encoded")
    }

    /// Decodes a stored job.
    ///
    /// # Errors
    ///
    /// Returns the decoder's error if the bytes are not a valid stored job.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        postcard::from_bytes(bytes)
    }

    /// Returns the queue whose attributes apply to the job now.
    pub fn route(&self, configuration: Option<&Configuration>) -> Route {
        let in_force = configuration.and_then(|all| all.find_queue(&self.queue));
        let route = in_force.cloned().unwrap_or_else(|| self.stored_route());
        Route {
            max_attempts: self.max_attempts,
            ..route
        }
    }

    fn stored_route(&self) -> Route {
        Route {
            name: self.queue.clone(),
            host: String::new(),
            path_prefix: String::new(),
            service: self.service.clone(),
            timeout: Duration::ZERO,
            allowance: Duration::from_millis(self.allowance_ms),
            priority: self.priority,
            max_attempts: self.max_attempts,
            stretch: self.stretch,
        }
    }
}
