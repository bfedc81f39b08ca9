//! Calls to a running proxy's admin address.

use super::error::CliError;
use edge_proxy::http_client::call;
use edge_proxy::purge::wire::{from_json, ErrorBody};
use std::net::SocketAddr;
use std::time::Duration;

/// How long a call may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Sends a `GET` and prints the body of its answer.
pub fn print_get(at: SocketAddr, target: &str) -> Result<(), CliError> {
    print_answer(at, "GET", target, b"")
}

/// Sends a call and prints the body of its answer.
pub fn print_answer(at: SocketAddr, method: &str, target: &str, body: &[u8]) -> Result<(), CliError> {
    println!("{}", send(at, method, target, body)?);
    Ok(())
}

/// Sends a call: the body of a 2xx answer, or the fault that the answer names.
fn send(at: SocketAddr, method: &str, target: &str, body: &[u8]) -> Result<String, CliError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(CliError::Runtime)?;
    let answer = runtime.block_on(call(at, method, target, body, CALL_TIMEOUT));
    let answer = answer.map_err(|error| CliError::Call(error.into()))?;
    let text = String::from_utf8_lossy(&answer.body).to_string();
    if (200..300).contains(&answer.status) {
        return Ok(text);
    }
    let reason = from_json::<ErrorBody>(&answer.body).map_or(text, |fault| fault.error);
    Err(CliError::Answer { at, status: answer.status, reason })
}
