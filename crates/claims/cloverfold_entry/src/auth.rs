//! Who a caller is.

use cloverfold_claims_settings::{CellSettings, WorkspaceSettings, verify_caller_key};
use http::{HeaderMap, StatusCode};

use crate::submission::Refusal;

/// Header that names the customer.
pub(crate) const CUSTOMER_HEADER: &str = "cloverfold-customer";

/// Finds the customer that the headers prove.
pub(crate) fn authenticate<'a>(
    cell: &'a CellSettings,
    headers: &HeaderMap,
) -> Result<&'a WorkspaceSettings, Refusal> {
    let name = read_header(headers, CUSTOMER_HEADER);
    let key = read_header(headers, "authorization").and_then(|one| one.strip_prefix("Bearer "));
    let (Some(name), Some(key)) = (name, key) else {
        return Err(unauthorized(
            "name the customer in Cloverfold-Customer and its key in Authorization: Bearer …",
        ));
    };
    // One message for both, so that nobody learns which names exist.
    let wrong = "the customer or its key is wrong";
    let customer = cell
        .find_workspace(name)
        .ok_or_else(|| unauthorized(wrong))?;
    if verify_caller_key(customer, key) {
        Ok(customer)
    } else {
        Err(unauthorized(wrong))
    }
}

pub(crate) fn read_header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn unauthorized(message: &str) -> Refusal {
    Refusal {
        status: StatusCode::UNAUTHORIZED,
        code: "unauthorized",
        field: Some("Authorization".into()),
        message: message.into(),
    }
}
