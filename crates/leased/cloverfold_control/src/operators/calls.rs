//! The calls of the operator API and their paths.
//!
//! This module maps the product's own paths; an [`OperatorInterface`] maps those of a platform.

use cloverfold_configuration::ConfigurationFormat;
use cloverfold_evacuation::{DataHall, HallChange};
use cloverfold_kept_jobs::JobId;
use cloverfold_upkeep::{BoxInterface, WaveFormat};
use http::Method;

/// A call of the operator API.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorCall {
    /// Puts the configuration in the body in force.
    PutConfiguration,
    /// Returns the configuration in force.
    GetConfiguration,
    /// Returns the audit trail.
    GetAudit,
    /// Returns the status of this process.
    GetStatus,
    /// Evacuates a data hall or ends its evacuation. The name is not validated yet.
    ChangeHall(DataHall, HallChange),
    /// Returns the evacuations in force.
    GetEvacuations,
    /// Lists, shows or cancels kept jobs.
    Jobs(JobsCall),
    /// Starts the wave of upkeep in the body.
    StartWave(CallFormat),
    /// Returns the state of the wave with a number. The number is not validated yet.
    GetWave(CallFormat, String),
    /// Lists all waves.
    ListWaves,
}

impl OperatorCall {
    /// Returns the call on a data hall for a method: POST evacuates the hall, DELETE ends the evacuation.
    pub fn for_hall(method: &Method, hall: &str) -> Option<Self> {
        let change = match *method {
            Method::POST => HallChange::Evacuate,
            Method::DELETE => HallChange::TakeBack,
            _ => return None,
        };
        Some(Self::ChangeHall(hall.into(), change))
    }

    /// Returns the call on a wave for a method: GET returns its state.
    pub fn for_wave(method: &Method, format: CallFormat, number: &str) -> Option<Self> {
        (method == Method::GET).then(|| Self::GetWave(format, number.into()))
    }
}

/// The interface of a platform to the operator API: its formats, its list of boxes, and its paths in addition to the product's own
/// (`/v1/configuration`, `/v1/evacuations`, `/v1/upkeep`, `/v1/jobs`, `/v1/audit`, `/v1/status`).
pub trait OperatorInterface: ConfigurationFormat + WaveFormat + BoxInterface {
    /// Returns the call for a request; `None` if the method or path is unknown.
    fn classify(&self, method: &Method, path: &str) -> Option<OperatorCall>;
}

/// The format of a call about a wave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFormat {
    /// The product's own format.
    Product,
    /// The platform's format.
    Platform,
}

/// A call about kept jobs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobsCall {
    /// Lists the groups and their open jobs.
    List,
    /// Shows one job.
    Show(JobId),
    /// Cancels one job.
    Cancel(JobId),
}

impl JobsCall {
    /// Returns the call for a request; `None` if the request does not concern kept jobs.
    fn classify(method: &Method, path: &str) -> Option<Self> {
        if path == "/v1/jobs" {
            return (method == Method::GET).then_some(Self::List);
        }
        let job = path
            .strip_prefix("/v1/jobs/")
            .filter(|job| !job.is_empty())?;
        match *method {
            Method::GET => Some(Self::Show(job.into())),
            Method::DELETE => Some(Self::Cancel(job.into())),
            _ => None,
        }
    }
}

/// Returns the call for a request to one of the product's own paths; `None` for any other request.
pub(super) fn classify_product_call(method: &Method, path: &str) -> Option<OperatorCall> {
    match (method, path) {
        (&Method::PUT, "/v1/configuration") => Some(OperatorCall::PutConfiguration),
        (&Method::GET, "/v1/configuration") => Some(OperatorCall::GetConfiguration),
        (&Method::GET, "/v1/audit") => Some(OperatorCall::GetAudit),
        (&Method::GET, "/v1/status") => Some(OperatorCall::GetStatus),
        (&Method::GET, "/v1/evacuations") => Some(OperatorCall::GetEvacuations),
        (method, path) if path.starts_with("/v1/jobs") => {
            JobsCall::classify(method, path).map(OperatorCall::Jobs)
        }
        (&Method::POST, "/v1/upkeep") => Some(OperatorCall::StartWave(CallFormat::Product)),
        (&Method::GET, "/v1/upkeep") => Some(OperatorCall::ListWaves),
        (method, path) => {
            if let Some(number) = path.strip_prefix("/v1/upkeep/") {
                return OperatorCall::for_wave(method, CallFormat::Product, number);
            }
            let hall = path.strip_prefix("/v1/evacuations/")?;
            OperatorCall::for_hall(method, hall)
        }
    }
}
