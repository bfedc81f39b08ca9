//! The command line: a module for each command, and what several of them share.

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
use old_spellings::replace_old_spellings;
use std::ffi::{OsStr, OsString};
use std::path::Path;
use std::process::ExitCode;

/// The name of the program in its messages.
const PROGRAM: &str = "edge-proxy";

/// The edge proxy of the listing-media deployment.
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

/// Runs the command that the process's arguments name.
pub fn main() -> ExitCode {
    let arguments: Result<Vec<String>, OsString> = std::env::args_os().map(OsString::into_string).collect();
    let mut arguments = match arguments {
        Ok(arguments) => arguments.into_iter(),
        Err(argument) => {
            eprintln!("Invalid utf8: {}", argument.to_string_lossy());
            return ExitCode::FAILURE;
        }
    };
    let path = arguments.next().unwrap_or_default();
    let name = Path::new(&path).file_name().and_then(OsStr::to_str).unwrap_or(PROGRAM);
    let arguments = replace_old_spellings(arguments.collect());
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

/// Prints the help that was asked for, or what is wrong with the arguments.
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
