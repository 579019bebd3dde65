//! The HTTP API for operators.
//!
//! | module | responsibility |
//! |---|---|
//! | `calls` | calls and their paths |
//! | `configurations`, `evacuations`, `upkeep`, `jobs` | handlers of the calls |
//! | `submission` | submission of orders with retries |
//! | `audit` | the audit trail |
//! | `read_barrier` | linearizable reads |
//! | `replies` | shared timeouts and responses |

mod audit;
mod calls;
mod configurations;
mod evacuations;
mod jobs;
mod read_barrier;
mod replies;
mod submission;
mod upkeep;

use std::sync::Arc;

use cloverfold_evacuation::HallNames;
use cloverfold_http::{Request, Response, json_response, plain_response};
use cloverfold_leased_process::Shared;
use cloverfold_leased_settings::UpkeepSettings;
use http::StatusCode;

use self::calls::classify_product_call;
use crate::state::ControlState;

pub use self::calls::{CallFormat, JobsCall, OperatorCall, OperatorInterface};

pub(crate) struct OperatorApi {
    state: Shared<ControlState>,
    interface: Arc<dyn OperatorInterface>,
    name: String,
    halls: HallNames,
    /// `None` if waves of upkeep are disabled.
    upkeep: Option<UpkeepSettings>,
}

impl OperatorApi {
    pub(crate) fn new(
        state: Shared<ControlState>,
        interface: Arc<dyn OperatorInterface>,
        name: String,
        halls: HallNames,
        upkeep: Option<UpkeepSettings>,
    ) -> Self {
        Self {
            state,
            interface,
            name,
            halls,
            upkeep,
        }
    }

    pub(crate) async fn answer(&self, request: Request) -> Response {
        let path = request.uri.path();
        let call = classify_product_call(&request.method, path);
        match call.or_else(|| self.interface.classify(&request.method, path)) {
            Some(OperatorCall::PutConfiguration) => self.put_configuration(&request).await,
            Some(OperatorCall::GetConfiguration) => self.get_configuration().await,
            Some(OperatorCall::GetAudit) => self.show_audit(),
            Some(OperatorCall::GetStatus) => self.show_status(),
            Some(OperatorCall::ChangeHall(hall, change)) => {
                self.change_hall(&hall, change, &request).await
            }
            Some(OperatorCall::GetEvacuations) => self.get_evacuations().await,
            Some(OperatorCall::Jobs(call)) => self.answer_jobs(call).await,
            Some(OperatorCall::StartWave(format)) => self.start_wave(format, &request).await,
            Some(OperatorCall::GetWave(format, number)) => self.get_wave(format, &number).await,
            Some(OperatorCall::ListWaves) => self.list_waves().await,
            None => plain_response(StatusCode::NOT_FOUND, "no such call\n"),
        }
    }

    fn show_status(&self) -> Response {
        let body = self.state.lock().describe().to_string();
        json_response(StatusCode::OK, body)
    }
}
