//! Adapter between the simulator protocol and [`edge_proxy::Router`]. It only translates messages.
//!
//! One process hosts many independent routers. An invalid message ends the process with an error on standard
//! error and exit code 1; the end of input ends it with exit code 0.

#![cfg_attr(not(test), warn(clippy::too_many_lines, clippy::cognitive_complexity))]
#![cfg_attr(not(test), warn(clippy::unwrap_used))]

mod error;
mod host;
mod input;
mod output;

use error::{AdapterError, MessageError};
use host::Host;
use std::io::{self, BufRead, BufWriter, Write};
use std::process::ExitCode;

/// Handles batches of messages from standard input until end of file.
fn run() -> Result<(), AdapterError> {
    let mut input = io::stdin().lock();
    let mut output = BufWriter::new(io::stdout().lock());
    let mut host = Host::default();
    let mut line = Vec::new();
    let mut line_number = 0u64;
    loop {
        line.clear();
        line_number += 1;
        let at_line = |source: MessageError| AdapterError::Message { line_number, source };
        if input.read_until(b'\n', &mut line).map_err(AdapterError::Input)? == 0 {
            return if host.is_in_batch() { Err(at_line(MessageError::UnfinishedBatch)) } else { Ok(()) };
        }
        let text = std::str::from_utf8(&line).map_err(|error| at_line(error.into()))?.trim();
        if text.is_empty() {
            continue;
        }
        if let Some(reply) = host.handle(text).map_err(at_line)? {
            output.write_all(reply.as_bytes()).map_err(AdapterError::Output)?;
            output.flush().map_err(AdapterError::Output)?;
        }
    }
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
