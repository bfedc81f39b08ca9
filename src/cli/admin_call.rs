//! HTTP calls to the admin address of a running proxy.

use super::error::CliError;
use edge_proxy::http_client::call;
use edge_proxy::purge::wire::{from_json, ErrorBody};
use std::net::SocketAddr;
use std::time::Duration;

/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Sends a `GET` request and prints the body of the response.
pub fn print_get(at: SocketAddr, target: &str) -> Result<(), CliError> {
    print_response(at, "GET", target, b"")
}

/// Sends a request and prints the body of the response.
pub fn print_response(at: SocketAddr, method: &str, target: &str, body: &[u8]) -> Result<(), CliError> {
    println!("{}", send(at, method, target, body)?);
    Ok(())
}

/// Sends a request. Returns the body of a 2xx response, or the error that the response contains.
fn send(at: SocketAddr, method: &str, target: &str, body: &[u8]) -> Result<String, CliError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(CliError::Runtime)?;
    let response = runtime.block_on(call(at, method, target, body, CALL_TIMEOUT));
    let response = response.map_err(|error| CliError::Call(error.into()))?;
    let text = String::from_utf8_lossy(&response.body).to_string();
    if (200..300).contains(&response.status) {
        return Ok(text);
    }
    let reason = from_json::<ErrorBody>(&response.body).map_or(text, |body| body.error);
    Err(CliError::ErrorResponse { at, status: response.status, reason })
}
