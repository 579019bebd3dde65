//! Interface to the platform's wire format for targets, which `platform/` implements.

use std::future::Future;
use std::pin::Pin;

use cloverfold_http::Request;
use cloverfold_lease::{
    IncarnationId, RenewalAnswer, RenewalOrder, StartAnswer, StartOrder, StopOrder,
    TargetRegistration,
};

/// The pending answer to a call to the target.
pub type CallFuture<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// A call from a target to the registration address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RegistrationCall {
    /// The target is up, in this state; repeated as a heartbeat by the target.
    Register(TargetRegistration),
    /// This incarnation of the target has ended.
    Deregister {
        /// The incarnation; the call may omit its start time.
        incarnation: IncarnationId,
    },
}

/// Why a call to the registration address is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RegistrationRefusal {
    /// The request is not a registration call.
    Unknown,
    /// The call cannot be parsed; the text names the field.
    Malformed(String),
}

/// Wire format of calls to and from a target.
pub trait TargetInterface: Send + Sync {
    /// Parses a call from the target.
    ///
    /// # Errors
    ///
    /// Returns [`RegistrationRefusal`] if the request is not a registration call or cannot be parsed.
    fn read_registration(&self, request: &Request)
    -> Result<RegistrationCall, RegistrationRefusal>;

    /// Serializes the acknowledgement of a registration call.
    fn write_acknowledgement(&self) -> Vec<u8>;

    /// Starts a run. The target may execute an order even if the answer is lost.
    fn start(&self, order: StartOrder) -> CallFuture<StartAnswer>;

    /// Stops a run; a later renewal reports whether it has ended.
    fn stop(&self, order: StopOrder) -> CallFuture<()>;

    /// Renews the lease, and requests the current runs and the ends of runs.
    fn renew(&self, order: RenewalOrder) -> CallFuture<RenewalAnswer>;
}
