//! Which call of an operator a request is.
//!
//! Owns no state. The product's own paths are known here, those of the platform to an [`OperatorInterface`].

use cloverfold_configuration::ConfigurationFormat;
use cloverfold_evacuation::{DataHall, HallChange};
use cloverfold_kept_jobs::JobId;
use cloverfold_upkeep::{BoxInterface, WaveFormat};
use http::Method;

/// A call of an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorCall {
    /// Bring the configuration in the body into force.
    PutConfiguration,
    /// Show the configuration in force.
    GetConfiguration,
    /// Show the decisions on configurations.
    GetAudit,
    /// Show the status of this process.
    GetStatus,
    /// Evacuate a data hall or take it back; the name is not checked yet.
    ChangeHall(DataHall, HallChange),
    /// Show the evacuations in force.
    GetEvacuations,
    /// Show or cancel kept jobs.
    Jobs(JobsCall),
    /// Begin the wave of upkeep in the body.
    StartWave(CallFormat),
    /// Show how far the wave with a number is; the number is not checked yet.
    GetWave(CallFormat, String),
    /// Show all waves.
    ListWaves,
}

impl OperatorCall {
    /// Returns which call on a data hall this is, by its method: POST evacuates the hall, DELETE takes it back.
    pub fn for_hall(method: &Method, hall: &str) -> Option<Self> {
        let change = match *method {
            Method::POST => HallChange::Evacuate,
            Method::DELETE => HallChange::TakeBack,
            _ => return None,
        };
        Some(Self::ChangeHall(hall.into(), change))
    }

    /// Returns which call on a wave this is, by its method: GET shows how far it is.
    pub fn for_wave(method: &Method, format: CallFormat, number: &str) -> Option<Self> {
        (method == Method::GET).then(|| Self::GetWave(format, number.into()))
    }
}

/// Further paths of operators' calls, beside the product's own (`/v1/configuration`, `/v1/evacuations`, `/v1/upkeep`, `/v1/jobs`,
/// `/v1/audit`, `/v1/status`).
pub trait OperatorInterface: ConfigurationFormat + WaveFormat + BoxInterface {
    /// Returns which call a request is; `None` if it is unknown.
    fn classify(&self, method: &Method, path: &str) -> Option<OperatorCall>;
}

/// In whose format a call about a wave is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFormat {
    /// The product's.
    Product,
    /// The platform's.
    Platform,
}

/// A call about kept jobs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobsCall {
    /// List the groups and their open jobs.
    List,
    /// Show one job.
    Show(JobId),
    /// Cancel one job.
    Cancel(JobId),
}

impl JobsCall {
    /// Returns which call a request is; `None` if it is about no kept jobs.
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

/// Returns which of the product's own calls a request is; `None` for any other.
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
