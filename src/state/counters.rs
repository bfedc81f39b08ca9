//! The proxy's counters, and their names in metrics and in the output of the admin calls.

use std::collections::BTreeMap;
use std::fmt;

/// Counters of one request class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassCounters {
    /// Requests served.
    pub served: u64,
    /// Requests rejected.
    pub rejected: u64,
    /// Requests failed.
    pub failed: u64,
    /// Attempts written to endpoints.
    pub attempts: u64,
}

/// Counters since the start of the process, by class name. Displayed as lines of
/// `NAME{kind="CLASS"} NUMBER`.
#[derive(Clone, Debug, Default)]
pub struct CountersByClass(BTreeMap<String, ClassCounters>);

impl CountersByClass {
    /// The counters of a class. The class is displayed from now on.
    pub fn class_mut(&mut self, class: &str) -> &mut ClassCounters {
        if !self.0.contains_key(class) {
            self.0.insert(class.to_string(), ClassCounters::default());
        }
        self.0.entry(class.to_string()).or_default()
    }
}

impl fmt::Display for CountersByClass {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (class, counters) in &self.0 {
            let values = [
                ("ok", counters.served),
                ("shed", counters.rejected),
                ("errors", counters.failed),
                ("tries", counters.attempts),
            ];
            for (name, value) in values {
                writeln!(f, "app_{name}_total{{kind=\"{class}\"}} {value}")?;
            }
        }
        Ok(())
    }
}

/// Requests that ended without a response of an endpoint since the start of the process, by reason. Displayed
/// as lines of `NAME{reason="REASON"} NUMBER`.
#[derive(Clone, Debug, Default)]
pub struct CountersByReason(BTreeMap<&'static str, u64>);

impl CountersByReason {
    /// Counts one request.
    pub fn count(&mut self, reason: &'static str) {
        *self.0.entry(reason).or_default() += 1;
    }
}

impl fmt::Display for CountersByReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (reason, count) in &self.0 {
            writeln!(f, "app_ended_without_reply_total{{reason=\"{reason}\"}} {count}")?;
        }
        Ok(())
    }
}

/// Defines the counters, each with the name used for display.
macro_rules! counters {
    ($($(#[$doc:meta])* $field:ident => $name:literal,)*) => {
        /// Counters since the start of the process. Displayed as lines of `NAME NUMBER`.
        #[derive(Clone, Debug, Default, PartialEq, Eq)]
        pub struct Counters {
            $($(#[$doc])* pub $field: u64,)*
        }

        impl fmt::Display for Counters {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                $(writeln!(f, "{} {}", $name, self.$field)?;)*
                Ok(())
            }
        }
    };
}

counters! {
    /// Client connections accepted.
    client_connections => "clients",
    /// Idle or slow client connections evicted for new ones.
    client_connections_evicted => "clients_displaced",
    /// Client connections closed because their first request was not complete in time.
    client_connections_too_slow => "clients_too_slow",
    /// Client connections that could not be accepted.
    accept_failures => "accept_failures",
    /// Requests accepted.
    requests => "requests",
    /// Requests that could not be parsed.
    malformed_requests => "malformed_requests",
    /// Signed-URL requests refused with status 403.
    forbidden_requests => "forbidden_requests",
    /// Client connections closed after they were idle for too long.
    client_connections_idle => "clients_idle",
    /// Idle client connections closed because the process stops.
    client_connections_stopped => "clients_stopped",
    /// Requests whose client disconnected before the response.
    clients_disconnected => "left",
    /// Responses: served.
    served => "served",
    /// Responses: the client's copy is current.
    not_modified => "unchanged",
    /// Responses: rejected.
    rejected => "refused",
    /// Responses: failed.
    failed => "failed",
    /// Responses that the engine sent at the deadline because the router had not ended the request.
    overdue => "overdue",
    /// Responses that could not be written completely.
    responses_unwritten => "unwritten",
    /// Connections opened to endpoints.
    connections => "connections",
    /// Connections to endpoints that could not be established.
    connection_failures => "connect_failures",
    /// Connections to endpoints that ended with requests in flight, for whatever reason.
    connections_lost => "broken",
    /// Connections to endpoints dropped because of malformed data.
    connections_malformed => "malformed_members",
    /// Connections to endpoints dropped because a reply stalled.
    connections_stalled => "stalled_members",
    /// Connections to endpoints dropped because of malformed data or a stalled reply.
    connections_dropped => "spoilt",
    /// Attempts requested by the router.
    attempts => "attempts",
    /// Attempts written.
    attempts_written => "attempts_written",
    /// Attempts found stale before their first byte was written.
    attempts_stale => "attempts_stale",
    /// Moves of attempts to another connection because theirs was lost before they were written.
    attempts_migrated => "attempts_moved",
    /// Attempts cancelled.
    attempts_cancelled => "attempts_cancelled",
    /// Attempts that timed out.
    attempts_timed_out => "attempts_timed_out",
    /// Attempts for which no connection had capacity.
    attempts_unplaced => "attempts_unplaced",
    /// Replies of endpoints: served, or the client's copy is current.
    replies_served => "member_ok",
    /// Replies of endpoints: a miss, or the request arrived after its time-out.
    replies_miss => "member_miss",
    /// Replies of endpoints: overloaded.
    replies_overloaded => "member_full",
    /// Replies of endpoints: an error.
    replies_error => "member_error",
    /// Replies to attempts that had already ended or are unknown to the connection.
    replies_late => "member_late",
    /// Connections made to the discovery service.
    discovery_connections => "bulletin_links",
    /// Connections to the discovery service that failed: connects, time limits, malformed frames and gaps.
    discovery_faults => "bulletin_faults",
    /// Discovery events skipped because they were malformed each time they were received.
    discovery_skipped => "bulletin_skipped",
    /// Gaps in the sequence numbers of discovery events.
    discovery_gaps => "bulletin_gaps",
    /// Changes of the discovery service's address.
    discovery_address_changes => "bulletin_moves",
    /// Configurations reloaded on SIGHUP.
    reloads => "reloads",
    /// Configurations that could not be reloaded on SIGHUP.
    reload_failures => "reload_faults",
    /// Maintenance calls that took an endpoint out of use or put it back.
    maintenance_changes => "maintenance",
    /// Discovery events applied.
    discovery_events => "bulletin_events",
    /// VRRP advertisements sent.
    vrrp_sent => "vrrp_sent",
    /// VRRP advertisements received from peers.
    vrrp_received => "vrrp_received",
    /// Malformed VRRP messages received.
    vrrp_malformed => "vrrp_malformed",
    /// Changes of the VRRP state.
    vrrp_changes => "vrrp_changes",
    /// Tasks that panicked.
    panics => "panics",
}
