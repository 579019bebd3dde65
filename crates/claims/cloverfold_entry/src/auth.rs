//! Authentication of callers by the keys of their workspaces.

use cloverfold_claims_settings::{CellSettings, WorkspaceSettings, verify_caller_key};
use http::{HeaderMap, StatusCode};

use crate::submission::Refusal;

/// Header with the name of the workspace, which the public API calls a customer.
pub(crate) const WORKSPACE_HEADER: &str = "cloverfold-customer";

/// Returns the workspace of a request with a valid key.
///
/// # Errors
///
/// Returns a refusal with status 401 when a header is missing, the workspace is unknown, or the key is wrong.
pub(crate) fn authenticate<'a>(
    cell: &'a CellSettings,
    headers: &HeaderMap,
) -> Result<&'a WorkspaceSettings, Refusal> {
    let name = read_header(headers, WORKSPACE_HEADER);
    let key = read_header(headers, "authorization").and_then(|value| value.strip_prefix("Bearer "));
    let (Some(name), Some(key)) = (name, key) else {
        return Err(unauthorized(
            "name the customer in Cloverfold-Customer and its key in Authorization: Bearer …",
        ));
    };
    // The message is the same for an unknown name and a wrong key, so that callers cannot enumerate names.
    let message = "the customer or its key is wrong";
    let workspace = cell
        .find_workspace(name)
        .ok_or_else(|| unauthorized(message))?;
    if verify_caller_key(workspace, key) {
        Ok(workspace)
    } else {
        Err(unauthorized(message))
    }
}

/// Returns the value of a header, if it is present and visible ASCII.
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
