//! `vrrp`: the state of a proxy's virtual router, and whether it takes part in elections.

use super::admin_call::print_answer;
use super::error::CliError;
use argh::FromArgs;
use std::net::SocketAddr;
use std::str::FromStr;
use thiserror::Error;

/// Show the state of a proxy's virtual router, have it step down, or resume.
#[derive(FromArgs)]
#[argh(subcommand, name = "vrrp")]
pub struct Vrrp {
    /// what to do: `status`, `step-down` (give the addresses up and stay out) or `resume` (as a backup)
    #[argh(positional)]
    action: String,
    /// the proxy's admin address
    #[argh(option)]
    at: SocketAddr,
}

impl Vrrp {
    /// Carries the action out and prints the state.
    pub fn run(self) -> Result<(), CliError> {
        let action: Action = self.action.parse().map_err(|e: UnknownAction| CliError::Argument(e.into()))?;
        let (method, target) = action.call();
        print_answer(self.at, method, target, b"")
    }
}

#[derive(Clone, Copy)]
enum Action {
    Status,
    StepDown,
    Resume,
}

#[derive(Debug, Error)]
#[error("{0:?} is neither `status`, `step-down` nor `resume`")]
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
    /// The method and target of its admin call.
    fn call(self) -> (&'static str, &'static str) {
        match self {
            Self::Status => ("GET", "/vrrp"),
            Self::StepDown => ("POST", "/vrrp/aside"),
            Self::Resume => ("POST", "/vrrp/back"),
        }
    }
}
