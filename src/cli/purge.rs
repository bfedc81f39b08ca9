//! The `purge` command: submits fleet purges and shows their progress.

use super::admin_call::{print_get, print_response};
use super::error::CliError;
use argh::FromArgs;
use edge_proxy::purge::log_record::{decode, DecodedLog, InvalidRecord, MAGIC};
use edge_proxy::purge::selector::Selector;
use edge_proxy::purge::wire::{to_json, SubmitRequest};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Submit fleet purges and show their progress.
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

/// Submit a purge to the leader: object:HEX16, group:N, tag:KEY, pattern:/GLOB or everything.
#[derive(FromArgs)]
#[argh(subcommand, name = "submit")]
struct Submit {
    /// the leader's admin address, as IP:PORT
    #[argh(option)]
    at: SocketAddr,
    /// what to purge
    #[argh(positional)]
    selector: String,
}

/// Show a proxy's purge progress: the last purge number, the number up to which all targets have applied
/// every purge, and each target's acknowledgement.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
struct Status {
    /// the proxy's admin address, as IP:PORT
    #[argh(option)]
    at: SocketAddr,
}

/// List the purges that a proxy holds.
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
struct List {
    /// the proxy's admin address, as IP:PORT
    #[argh(option)]
    at: SocketAddr,
    /// the first purge number to list
    #[argh(option, default = "1")]
    from: u64,
    /// the maximum number of purges to list
    #[argh(option, long = "most", default = "100")]
    limit: u64,
}

/// Print a purge log file and verify every record, without changing it.
#[derive(FromArgs)]
#[argh(subcommand, name = "log")]
struct Log {
    /// the log file
    #[argh(positional)]
    file: PathBuf,
}

impl Purge {
    /// Runs the subcommand and prints its result.
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
    /// Validates the selector locally, so that an invalid one is never sent.
    fn run(self) -> Result<(), CliError> {
        let selector: Selector =
            self.selector.parse().map_err(|error| CliError::Argument(Box::from(error)))?;
        print_response(self.at, "POST", "/purges", &to_json(&SubmitRequest { selector }))
    }
}

impl Log {
    fn run(self) -> Result<(), CliError> {
        let path = self.file;
        let bytes = match std::fs::read(&path) {
            Ok(bytes) => bytes,
            Err(source) => return Err(CliError::Unreadable { path, source }),
        };
        let Some(encoded) = bytes.strip_prefix(MAGIC.as_slice()) else {
            return Err(CliError::NotAPurgeLog(path));
        };
        let DecodedLog { records, fault } = decode(encoded);
        for record in &records {
            println!("{}", simd_json::to_string(record)?);
        }
        let valid_records = records.len();
        if let Some(InvalidRecord { offset, fault }) = fault {
            let (offset, reason) = (offset + MAGIC.len(), fault.to_string());
            return Err(CliError::CorruptPurgeLog { path, valid_records, offset, reason });
        }
        eprintln!("{}: {valid_records} records, all valid", path.display());
        Ok(())
    }
}
