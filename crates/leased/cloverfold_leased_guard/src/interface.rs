//! How a target is called, and how it registers.
//!
//! The boundary to the platform's forms: `platform/` implements [`TargetInterface`], and nothing else here knows them. Owns nothing.

use std::future::Future;
use std::pin::Pin;

use cloverfold_http::Request;
use cloverfold_lease::{
    IncarnationId, RenewalAnswer, RenewalOrder, StartAnswer, StartOrder, StopOrder,
    TargetRegistration,
};

/// The answer to a call that was sent.
pub type CallFuture<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// A call of a target at the registration address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RegistrationCall {
    /// The target is up, in this state; repeated as a heartbeat.
    Register(TargetRegistration),
    /// This incarnation of the target has ended.
    Deregister {
        /// The incarnation; the word may leave out when it started.
        incarnation: IncarnationId,
    },
}

/// Why a call at the registration address is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RegistrationRefusal {
    /// It is no call of a target.
    Unknown,
    /// It cannot be read; the text names the field.
    Malformed(String),
}

/// How a target is called.
pub trait TargetInterface: Send + Sync {
    /// Reads a call of the target.
    ///
    /// # Errors
    ///
    /// Returns [`RegistrationRefusal`] if the request is no call of a target or can't be read.
    fn read_registration(&self, request: &Request)
    -> Result<RegistrationCall, RegistrationRefusal>;

    /// Writes the acknowledgement of such a call.
    fn write_acknowledgement(&self) -> Vec<u8>;

    /// Starts a run. An order whose answer is lost may still be carried out.
    fn start(&self, order: StartOrder) -> CallFuture<StartAnswer>;

    /// Stops a run; whether it has ended is seen from a later renewal.
    fn stop(&self, order: StopOrder) -> CallFuture<()>;

    /// Renews the lease, and asks what runs and what has ended.
    fn renew(&self, order: RenewalOrder) -> CallFuture<RenewalAnswer>;
}
