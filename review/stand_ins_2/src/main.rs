//! `review-2 CASE ROOT FOLDER RECORD`: plays one case of the second review. The exit status is 0 if the rule
//! held, 1 if it was broken and 2 if the case could not run. With `TROUBLE=0` in the environment the disruption
//! is left out.

mod cases;
mod grpc;
mod platform;
mod proxy;
mod purges;
mod record;
mod registry;
mod site;
mod web;

use proxy::Place;
use record::Record;
use std::path::PathBuf;
use std::process::exit;
use std::time::Duration;

/// What a case found.
pub enum Verdict {
    Held,
    Broken(String),
    NotRun(String),
}

/// What every case gets.
pub struct Run {
    pub place: Place,
    pub record: Record,
    /// Whether the disruption happens.
    pub trouble: bool,
}

/// A run that takes longer could not run.
const LONGEST_RUN: Duration = Duration::from_secs(100);

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    if let [_, "crowd-members", address] = arguments.iter().map(String::as_str).collect::<Vec<_>>()[..] {
        let address = address.parse().expect("an address");
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        return tokio::task::LocalSet::new().block_on(&runtime, cases::crowd::members(address));
    }
    let [_, case, root, folder, record] = &arguments[..] else {
        eprintln!("usage: review-2 CASE ROOT FOLDER RECORD");
        exit(2)
    };
    let record = Record::create(&PathBuf::from(record)).expect("the record can be written");
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let place = Place { root: PathBuf::from(root), folder: PathBuf::from(folder) };
    record.line(format!(
        "case {case}, {}",
        if trouble { "with the disruption" } else { "without the disruption" }
    ));
    let run = Run { place, record: record.clone(), trouble };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let played = async { tokio::time::timeout(LONGEST_RUN, cases::play(case, &run)).await };
    let verdict = tokio::task::LocalSet::new()
        .block_on(&runtime, played)
        .unwrap_or_else(|_| Verdict::NotRun("the case took too long".into()));
    // The proxies have ended: nothing is left for the script to kill.
    let _ = std::fs::remove_file(run.place.folder.join("pids"));
    let (status, text) = match verdict {
        Verdict::Held => (0, "the rule held".to_string()),
        Verdict::Broken(how) => (1, format!("the rule was BROKEN: {how}")),
        Verdict::NotRun(why) => (2, format!("the case could not run: {why}")),
    };
    record.line(text);
    exit(status)
}
