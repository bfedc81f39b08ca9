//! The `version` command.

use super::error::CliError;
use super::PROGRAM;
use argh::FromArgs;

/// Print the version.
#[derive(FromArgs)]
#[argh(subcommand, name = "version")]
pub struct Version {}

impl Version {
    pub fn run(self) -> Result<(), CliError> {
        println!("{PROGRAM} {}", env!("CARGO_PKG_VERSION"));
        Ok(())
    }
}
