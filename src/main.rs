//! The edge proxy binary. See [`cli`] for its commands.

#![cfg_attr(not(test), warn(clippy::too_many_lines, clippy::cognitive_complexity))]
#![cfg_attr(not(test), warn(clippy::unwrap_used))]

mod cli;

use std::process::ExitCode;

fn main() -> ExitCode {
    cli::main()
}
