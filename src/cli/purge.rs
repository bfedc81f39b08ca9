//! `purge`: issues fleet purges, and shows how far they got.

use super::admin_call::{print_answer, print_get};
use super::error::CliError;
use argh::FromArgs;
use edge_proxy::purge::log::{decode, DecodedLog, InvalidRecord, MAGIC};
use edge_proxy::purge::selector::Selector;
use edge_proxy::purge::wire::{to_json, SubmitRequest};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Issue fleet purges and show how far they got.
#[derive(FromArgs)]
#[argh(subcommand, name = "purge")]
pub struct Purge {
    #[argh(subcommand)]
    command: PurgeCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum PurgeCommand {
    Submit(Submit),
    Status(Status),
    List(List),
    Log(Log),
}

/// Issue a purge at the leader: object:HEX16, group:N, tag:KEY, pattern:/GLOB or everything.
#[derive(FromArgs)]
#[argh(subcommand, name = "submit")]
struct Submit {
    /// the leader's admin address, as host:port
    #[argh(option)]
    at: SocketAddr,
    /// what the purge removes
    #[argh(positional)]
    selector: String,
}

/// Show a proxy's purges: its number, the fleet's done mark, each target's acknowledgement.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
struct Status {
    /// the proxy's admin address, as host:port
    #[argh(option)]
    at: SocketAddr,
}

/// List the purges that a proxy holds.
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
struct List {
    /// the proxy's admin address, as host:port
    #[argh(option)]
    at: SocketAddr,
    /// the first number to list
    #[argh(option, default = "1")]
    from: u64,
    /// how many at most
    #[argh(option, long = "most", default = "100")]
    limit: u64,
}

/// Read a purge log file and check every record, changing nothing.
#[derive(FromArgs)]
#[argh(subcommand, name = "log")]
struct Log {
    /// the log file
    #[argh(positional)]
    file: PathBuf,
}

impl Purge {
    /// Carries the command out and prints its result.
    pub fn run(self) -> Result<(), CliError> {
        match self.command {
            PurgeCommand::Submit(command) => command.run(),
            PurgeCommand::Status(command) => print_get(command.at, "/purges"),
            PurgeCommand::List(List { at, from, limit }) => {
                print_get(at, &format!("/purges/log?from={from}&most={limit}"))
            }
            PurgeCommand::Log(command) => command.run(),
        }
    }
}

impl Submit {
    /// Checks the selector here first, so that a bad one is reported at once and changes nothing anywhere.
    fn run(self) -> Result<(), CliError> {
        let selector: Selector =
            self.selector.parse().map_err(|error| CliError::Argument(Box::from(error)))?;
        print_answer(self.at, "POST", "/purges", &to_json(&SubmitRequest { selector }))
    }
}

impl Log {
    fn run(self) -> Result<(), CliError> {
        let path = self.file;
        let bytes = match std::fs::read(&path) {
            Ok(bytes) => bytes,
            Err(source) => return Err(CliError::Unreadable { path, source }),
        };
        let Some(records) = bytes.strip_prefix(MAGIC.as_slice()) else {
            return Err(CliError::NotAPurgeLog(path));
        };
        let DecodedLog { records, fault } = decode(records);
        for record in &records {
            println!("{}", simd_json::to_string(record)?);
        }
        let complete = records.len();
        if let Some(InvalidRecord { offset, fault }) = fault {
            let (offset, reason) = (offset + MAGIC.len(), fault.to_string());
            return Err(CliError::DamagedPurgeLog { path, complete, offset, reason });
        }
        eprintln!("{}: {complete} records, all whole", path.display());
        Ok(())
    }
}
