//! How a target is spoken to.

use std::future::Future;
use std::pin::Pin;

use cloverfold_http::Request;
use cloverfold_lease::{
    RenewalAnswer, RenewalOrder, StartAnswer, StartOrder, StopOrder, TargetRegistration,
};

/// An answer under way.
pub type Answer<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// What a target says at the registration address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RegistrationCall {
    /// It is there, in this state.
    Register(TargetRegistration),
    /// This life of it is over.
    Leave {
        /// The life.
        incarnation: String,
    },
}

/// Why a call at the registration address is not taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RegistrationRefusal {
    /// It is none of the target's calls.
    Unknown,
    /// It cannot be read; the text names the field.
    Malformed(String),
}

/// How a target is spoken to.
pub trait TargetInterface: Send + Sync {
    /// Reads a call of the target.
    ///
    /// # Errors
    ///
    /// Says that it is unknown or malformed.
    fn read_registration(&self, request: &Request)
    -> Result<RegistrationCall, RegistrationRefusal>;

    /// Writes the acknowledgement of such a call.
    fn write_acknowledgement(&self) -> Vec<u8>;

    /// Starts a run.
    fn start(&self, order: StartOrder) -> Answer<StartAnswer>;

    /// Stops a run; whether it did is seen from a later renewal.
    fn stop(&self, order: StopOrder) -> Answer<()>;

    /// Renews the lease and asks what runs and what has ended.
    fn renew(&self, order: RenewalOrder) -> Answer<RenewalAnswer>;
}
