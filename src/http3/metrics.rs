//! HTTP/3 counters. Exported names that differ from field names are kept for compatibility with existing
//! tools.

use super::call_registry::CallRegistry;

/// Counters of the server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerMetrics {
    /// QUIC connections accepted.
    pub connections_accepted: u64,
    /// QUIC connections rejected because the connection limit was reached.
    pub connections_rejected: u64,
    /// QUIC connections that timed out or failed, instead of being closed by either side.
    pub connections_lost: u64,
    /// Requests received.
    pub requests: u64,
    /// Responses that could not be sent in full.
    pub incomplete_responses: u64,
    /// Requests that were malformed, too long, incomplete or not received in time.
    pub malformed_requests: u64,
}

impl ServerMetrics {
    /// Formats the metrics of the server and of its resumable calls in the Prometheus text format.
    pub fn to_prometheus(self, open_connections: usize, calls: &CallRegistry) -> String {
        let (store, usage) = (calls.metrics(), calls.usage());
        let lines = [
            ("connections_open", open_connections as u64),
            ("connections_total", self.connections_accepted),
            ("connections_refused_total", self.connections_rejected),
            ("connections_lost_total", self.connections_lost),
            ("requests_total", self.requests),
            ("unwritten_total", self.incomplete_responses),
            ("malformed_total", self.malformed_requests),
            ("shelf_calls", usage.calls as u64),
            ("shelf_bytes", usage.bytes as u64),
            ("shelf_taken_total", store.started),
            ("shelf_joined_total", store.attached),
            ("shelf_answered_total", store.replayed),
            ("shelf_conflicts_total", store.conflicts),
            ("shelf_full_total", store.rejected_full),
            ("shelf_lost_total", store.detached),
            ("shelf_called_off_total", store.cancelled),
            ("shelf_evicted_reads_total", store.evicted_reads),
            ("shelf_evicted_writes_total", store.evicted_writes),
        ];
        lines.iter().map(|(name, value)| format!("poor_{name} {value}\n")).collect()
    }
}
