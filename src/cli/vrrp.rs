//! The `vrrp` command: shows a proxy's virtual router, and controls whether it takes part in elections.

use super::admin_call::print_response;
use super::error::CliError;
use argh::FromArgs;
use std::net::SocketAddr;
use std::str::FromStr;
use thiserror::Error;

/// Show the state of a proxy's virtual router, or make it step down or resume.
#[derive(FromArgs)]
#[argh(subcommand, name = "vrrp")]
pub struct Vrrp {
    /// the action: `status`, `step-down` (release the addresses, leave elections) or `resume` (as backup)
    #[argh(positional)]
    action: String,
    /// the proxy's admin address, as IP:PORT
    #[argh(option)]
    at: SocketAddr,
}

impl Vrrp {
    /// Performs the action and prints the state.
    pub fn run(self) -> Result<(), CliError> {
        let action: Action = self.action.parse().map_err(|e: UnknownAction| CliError::Argument(e.into()))?;
        let (method, target) = action.call();
        print_response(self.at, method, target, b"")
    }
}

#[derive(Clone, Copy)]
enum Action {
    Status,
    StepDown,
    Resume,
}

#[derive(Debug, Error)]
#[error("unknown action {0:?}; expected `status`, `step-down` or `resume`")]
struct UnknownAction(String);

impl FromStr for Action {
    type Err = UnknownAction;

    fn from_str(text: &str) -> Result<Self, UnknownAction> {
        match text {
            "status" => Ok(Self::Status),
            "step-down" => Ok(Self::StepDown),
            "resume" => Ok(Self::Resume),
            other => Err(UnknownAction(other.to_string())),
        }
    }
}

impl Action {
    /// The HTTP method and path of its admin call.
    fn call(self) -> (&'static str, &'static str) {
        match self {
            Self::Status => ("GET", "/vrrp"),
            Self::StepDown => ("POST", "/vrrp/aside"),
            Self::Resume => ("POST", "/vrrp/back"),
        }
    }
}
