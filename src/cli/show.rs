//! The `show` command: prints the state of a subsystem.

use super::admin_call::print_get;
use super::error::CliError;
use argh::FromArgs;
use std::net::SocketAddr;
use thiserror::Error;

/// The subsystems, with the path of their admin call.
const SUBSYSTEMS: [(&str, &str); 5] = [
    ("registry", "/registry"),
    ("grpc", "/grpc"),
    ("vrrp", "/vrrp"),
    ("health-checks", "/duties"),
    ("purges", "/purges"),
];

/// Show the state of a subsystem as JSON.
#[derive(FromArgs)]
#[argh(subcommand, name = "show")]
pub struct Show {
    /// the subsystem: `registry`, `grpc`, `vrrp`, `health-checks` or `purges`
    #[argh(positional)]
    subsystem: String,
    /// the proxy's admin address, as IP:PORT
    #[argh(option)]
    at: SocketAddr,
}

#[derive(Debug, Error)]
#[error("unknown subsystem {0:?}; expected registry, grpc, vrrp, health-checks or purges")]
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
