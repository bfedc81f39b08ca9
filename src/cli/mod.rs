//! The command line: one module per command, and shared helpers.

mod admin_call;
mod check;
mod error;
mod files;
mod grpc_route;
mod logging;
mod old_spellings;
mod purge;
mod rule;
mod serve;
mod show;
mod version;
mod vrrp;

use argh::{EarlyExit, FromArgs};
use error::CliError;
use old_spellings::replace_deprecated_names;
use std::ffi::{OsStr, OsString};
use std::path::Path;
use std::process::ExitCode;

/// The name of the program in messages.
const PROGRAM: &str = "edge-proxy";

/// An edge proxy in front of tiers of caches.
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Serve(serve::Serve),
    Version(version::Version),
    Check(check::Check),
    GrpcRoute(grpc_route::GrpcRoute),
    Vrrp(vrrp::Vrrp),
    Show(show::Show),
    Rule(rule::Rule),
    Purge(purge::Purge),
}

impl Command {
    fn run(self) -> Result<(), CliError> {
        match self {
            Self::Serve(command) => command.run(),
            Self::Version(command) => command.run(),
            Self::Check(command) => command.run(),
            Self::GrpcRoute(command) => command.run(),
            Self::Vrrp(command) => command.run(),
            Self::Show(command) => command.run(),
            Self::Rule(command) => command.run(),
            Self::Purge(command) => command.run(),
        }
    }
}

/// Parses the arguments of the process and runs the command.
pub fn main() -> ExitCode {
    let arguments: Result<Vec<String>, OsString> = std::env::args_os().map(OsString::into_string).collect();
    let mut arguments = match arguments {
        Ok(arguments) => arguments.into_iter(),
        Err(argument) => {
            eprintln!("invalid UTF-8 in argument: {}", argument.to_string_lossy());
            return ExitCode::FAILURE;
        }
    };
    let path = arguments.next().unwrap_or_default();
    let name = Path::new(&path).file_name().and_then(OsStr::to_str).unwrap_or(PROGRAM);
    let arguments = replace_deprecated_names(arguments.collect());
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let command = match Arguments::from_args(&[name], &arguments) {
        Ok(arguments) => arguments.command,
        Err(exit) => return report_exit(name, exit),
    };
    match command.run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{PROGRAM}: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Prints the requested help, or the error in the arguments.
fn report_exit(name: &str, exit: EarlyExit) -> ExitCode {
    match exit.status {
        Ok(()) => {
            println!("{}", exit.output);
            ExitCode::SUCCESS
        }
        Err(()) => {
            eprintln!("{}\nRun {name} --help for more information.", exit.output);
            ExitCode::FAILURE
        }
    }
}
