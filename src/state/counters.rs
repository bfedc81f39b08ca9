//! Counters of what is taken in, sent and answered, by kind.

use std::collections::BTreeMap;
use std::fmt;
use std::fmt::Write as _;

/// What became of one class's requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassCounters {
    /// Served.
    pub ok: u64,
    /// Refused.
    pub shed: u64,
    /// Failed.
    pub errors: u64,
    /// Attempts written to endpoints.
    pub tries: u64,
}

/// Tallies by the class's name, since the start of the process.
#[derive(Clone, Debug, Default)]
pub struct CountersByClass(BTreeMap<String, ClassCounters>);

impl CountersByClass {
    /// A class's tally; from now on it is listed.
    pub fn of(&mut self, class: &str) -> &mut ClassCounters {
        if !self.0.contains_key(class) {
            self.0.insert(class.to_string(), ClassCounters::default());
        }
        self.0.entry(class.to_string()).or_default()
    }

    /// As lines of `NAME{kind="CLASS"} NUMBER`.
    pub fn lines(&self) -> String {
        let mut out = String::new();
        for (class, tally) in &self.0 {
            let figures =
                [("ok", tally.ok), ("shed", tally.shed), ("errors", tally.errors), ("tries", tally.tries)];
            for (name, figure) in figures {
                let _ = writeln!(out, "app_{name}_total{{kind=\"{class}\"}} {figure}");
            }
        }
        out
    }
}

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident,)*) => {
        /// Counts since the start.
        #[derive(Clone, Debug, Default, PartialEq, Eq)]
        pub struct Counters {
            $($(#[$doc])* pub $name: u64,)*
        }

        impl fmt::Display for Counters {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                $(writeln!(f, "{} {}", stringify!($name), self.$name)?;)*
                Ok(())
            }
        }
    };
}

counters! {
    /// Client connections accepted.
    clients,
    /// Client connections ended while idle, to make room for others.
    clients_displaced,
    /// Client connections ended because their first request was not whole in time.
    clients_too_slow,
    /// Client connections that could not be accepted.
    accept_failures,
    /// Requests taken in.
    requests,
    /// Requests that could not be read.
    malformed_requests,
    /// Requests with no valid token.
    forbidden_requests,
    /// Requests whose client left before the answer.
    left,
    /// Answers: served.
    served,
    /// Answers: the client's copy is the one.
    unchanged,
    /// Answers: refused.
    refused,
    /// Answers: failed.
    failed,
    /// Answers that the request table gave because the module had not in time.
    overdue,
    /// Answers that could not be written whole.
    unwritten,
    /// Connections opened to endpoints.
    connections,
    /// Connections to endpoints that did not come up.
    connect_failures,
    /// Connections to endpoints that broke with requests on them.
    broken,
    /// Connections to endpoints dropped for what came over them.
    malformed_members,
    /// Connections to endpoints dropped because an answer stopped in its middle.
    stalled_members,
    /// Connections to endpoints dropped for either.
    spoilt,
    /// Attempts asked for by the module.
    attempts,
    /// Attempts written.
    attempts_written,
    /// Attempts found stale before their first byte.
    attempts_stale,
    /// Attempts that went to another connection, since theirs ended before their first byte.
    attempts_moved,
    /// Attempts called off.
    attempts_cancelled,
    /// Attempts that ran out of time.
    attempts_timed_out,
    /// Attempts that no connection had room for.
    attempts_unplaced,
    /// Endpoints' answers: the bytes, or that the client's copy holds.
    member_ok,
    /// Endpoints' answers: a miss.
    member_miss,
    /// Endpoints' answers: full.
    member_full,
    /// Endpoints' answers: an error.
    member_error,
    /// Endpoints' answers that nobody waited for any more.
    member_late,
    /// Links to the bulletin made.
    bulletin_links,
    /// Links to the bulletin dropped for silence or for what came over them.
    bulletin_faults,
    /// Events of the bulletin skipped, since no link brought them in a form that can be read.
    bulletin_skipped,
    /// Gaps in the numbers of the bulletin's events.
    bulletin_gaps,
    /// Moves of the bulletin to another address.
    bulletin_moves,
    /// Configurations read again on SIGHUP and taken.
    reloads,
    /// Configurations read again on SIGHUP that could not be used.
    reload_faults,
    /// Endpoints taken out of use by hand, or put back.
    maintenance,
    /// Events of the bulletin.
    bulletin_events,
    /// VRRP advertisements sent.
    vrrp_sent,
    /// VRRP advertisements of peers.
    vrrp_received,
    /// VRRP messages of peers that can't be read.
    vrrp_malformed,
    /// Changes of the VRRP state.
    vrrp_changes,
    /// Tasks that ended in a panic.
    panics,
}
