//! The adapter between the bench's wire and [`edge_proxy::Router`]: it translates, and decides nothing.
//!
//! One process hosts many routers, which share nothing. A line that is not legal ends the process with a
//! message on standard error and exit code 1; the end of input ends it with 0.

mod wire;

use std::collections::HashMap;
use std::io::{self, BufRead, BufWriter, Write};
use std::process::ExitCode;

use edge_proxy::endpoint_list::EndpointRecord;
use edge_proxy::settings::PlatformSettings;
use edge_proxy::{Action, Event, Router};
use wire::{Line, Reply, TableRecord};

/// One hosted router with what is needed to translate for it.
struct Instance {
    router: Router,
    env: PlatformSettings,
}

/// The whole state of the adapter.
#[derive(Default)]
struct Host {
    instances: HashMap<u64, Instance>,
    sheets: HashMap<u64, Vec<TableRecord>>,
    clock: Option<u64>,
    reply: String,
    actions: Vec<Action>,
}

impl Host {
    /// Takes one line; `true` says that the batch has ended and the reply is complete.
    fn take(&mut self, text: &str) -> Result<bool, String> {
        // The parser works in place, and a line is read twice: its head says whether it is for us at all.
        let mut bytes = text.as_bytes().to_vec();
        let head: wire::Head = simd_json::from_slice(&mut bytes).map_err(|e| e.to_string())?;
        if !wire::KNOWN.contains(&head.cmd.as_str()) {
            return Ok(false);
        }
        bytes.clear();
        bytes.extend_from_slice(text.as_bytes());
        let line: Line = simd_json::from_slice(&mut bytes).map_err(|e| format!("{}: {e}", head.cmd))?;
        if let Line::Clock { time_us } = line {
            if self.clock.is_some() {
                return Err("Clock inside a batch".into());
            }
            self.clock = Some(time_us);
            return Ok(false);
        }
        let now = self.clock.ok_or_else(|| format!("{} outside a batch", head.cmd))?;
        let (i, event) = match line {
            Line::Eob => {
                self.clock = None;
                self.reply.push_str("{\"cmd\":\"End\"}\n");
                return Ok(true);
            }
            Line::Table { sheet, records } => {
                self.sheets.insert(sheet, records);
                return Ok(false);
            }
            Line::OpenInstance { i, seed, env } => {
                let router = Router::new(env.policy_settings(), seed);
                self.instances.insert(i, Instance { router, env: *env });
                return Ok(false);
            }
            Line::Teardown { i } => {
                self.instances.remove(&i);
                return Ok(false);
            }
            Line::Members { i, sheet, mode } => {
                let Some(instance) = self.instances.get(&i) else { return Ok(false) };
                let event = if mode == "lost" {
                    Event::WatchLost
                } else {
                    let number = sheet.ok_or("Members: no sheet")?;
                    let rows = self.sheets.get(&number).ok_or(format!("Members: unknown sheet {number}"))?;
                    let records = rows.iter().map(EndpointRecord::try_from);
                    let entries = records
                        .map(|record| Ok(instance.env.endpoint(&record?)))
                        .collect::<Result<_, String>>()?;
                    Event::EndpointsChanged { full: mode != "incr", entries }
                };
                (i, event)
            }
            other => {
                let i = other.instance();
                let Some(instance) = self.instances.get(&i) else { return Ok(false) };
                match other.event(&instance.env)? {
                    Some(event) => (i, event),
                    None => return Ok(false),
                }
            }
        };
        let Some(instance) = self.instances.get_mut(&i) else { return Ok(false) };
        instance.router.handle(now, &event, &mut self.actions);
        for action in self.actions.drain(..) {
            let text = simd_json::to_string(&Reply::from_action(i, action)).map_err(|e| e.to_string())?;
            self.reply.push_str(&text);
            self.reply.push('\n');
        }
        Ok(false)
    }
}

fn run() -> Result<(), String> {
    let mut input = io::stdin().lock();
    let mut output = BufWriter::new(io::stdout().lock());
    let mut host = Host::default();
    let mut line = Vec::new();
    let mut number = 0u64;
    loop {
        line.clear();
        number += 1;
        if input.read_until(b'\n', &mut line).map_err(|e| format!("input: {e}"))? == 0 {
            return if host.clock.is_some() {
                Err(format!("line {number}: input ended inside a batch"))
            } else {
                Ok(())
            };
        }
        let text = std::str::from_utf8(&line).map_err(|e| format!("line {number}: {e}"))?.trim();
        if text.is_empty() {
            continue;
        }
        if host.take(text).map_err(|e| format!("line {number}: {e}"))? {
            output.write_all(host.reply.as_bytes()).map_err(|e| format!("output: {e}"))?;
            output.flush().map_err(|e| format!("output: {e}"))?;
            host.reply.clear();
        }
    }
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("simulator-adapter: {message}");
            ExitCode::FAILURE
        }
    }
}
