//! `show`: a subsystem's state.

use super::admin_call::print_get;
use super::error::CliError;
use argh::FromArgs;
use std::net::SocketAddr;
use thiserror::Error;

/// The subsystems, each with the target of its admin call.
const SUBSYSTEMS: [(&str, &str); 5] = [
    ("registry", "/registry"),
    ("grpc", "/grpc"),
    ("vrrp", "/vrrp"),
    ("health-checks", "/duties"),
    ("purges", "/purges"),
];

/// Show a subsystem's state, as JSON.
#[derive(FromArgs)]
#[argh(subcommand, name = "show")]
pub struct Show {
    /// which one: `registry`, `grpc`, `vrrp`, `health-checks` or `purges`
    #[argh(positional)]
    subsystem: String,
    /// the proxy's admin address
    #[argh(option)]
    at: SocketAddr,
}

#[derive(Debug, Error)]
#[error("{0:?} is none of registry, grpc, vrrp, health-checks, purges")]
struct UnknownSubsystem(String);

impl Show {
    /// Prints the subsystem's state.
    pub fn run(self) -> Result<(), CliError> {
        match SUBSYSTEMS.iter().find(|(name, _)| *name == self.subsystem) {
            Some((_, target)) => print_get(self.at, target),
            None => Err(CliError::Argument(UnknownSubsystem(self.subsystem).into())),
        }
    }
}
