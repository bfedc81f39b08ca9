//! The edge proxy's program: see [`cli`].

mod cli;

use std::process::ExitCode;

fn main() -> ExitCode {
    cli::main()
}
