//! Limits of the gRPC front: the field `limits` of its configuration file.

use super::call_table::CallTableLimits;
use super::flow_control::connection_window_bytes;
use crate::state::connections::ConnectionLimits;
use crate::state::request_memory::RequestMemory;
use serde::Deserialize;
use thiserror::Error;

/// Largest value of the time limits, in milliseconds.
const MAX_LIMIT_MS: f64 = 3_600_000.0;

/// Memory of a decoded head of short fields as a multiple of its size as HTTP/2 counts it.
const HEAD_MEMORY_FACTOR: usize = 6;
/// Smallest flow-control window, in bytes: the initial one of HTTP/2 (RFC 9113, section 6.9.2).
const MIN_WINDOW_BYTES: u32 = 65_535;

/// Limits of the front. Times are in milliseconds.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct GrpcLimits {
    /// Maximum number of client connections.
    pub clients: usize,
    /// Maximum number of concurrent calls on a client connection.
    pub streams_per_client: u32,
    /// Maximum number of open calls.
    pub calls: usize,
    /// Maximum number of connections to all backends.
    pub connections: usize,
    /// Maximum number of connections to one backend.
    pub connections_per_backend: usize,
    /// Number of calls on a connection to a backend at which another connection is opened, if the limits
    /// allow it.
    #[serde(rename = "spread")]
    pub spread_above: usize,
    /// Maximum number of concurrent calls on a connection to a backend.
    pub streams_per_connection: usize,
    /// Maximum size of a header list, in either direction.
    pub header_bytes: u32,
    /// Maximum size of a message, in either direction.
    pub message_bytes: u32,
    /// Flow-control window of a stream, in either direction; bounds the bytes buffered for a slow receiver.
    pub window_bytes: u32,
    /// Maximum flow-control window of a connection, in either direction.
    #[serde(skip)]
    pub max_connection_window_bytes: u32,
    /// Maximum number of request bytes buffered for retries, per call.
    pub replay_bytes: usize,
    /// Maximum number of request bytes buffered for retries, over all calls.
    pub replay_total_bytes: usize,
    /// Time allowed for the HTTP/2 handshake of a client connection.
    #[serde(rename = "first_ms")]
    pub handshake_timeout_ms: f64,
    /// Time after which a client connection without calls is closed.
    pub idle_ms: f64,
    /// Time allowed for establishing a connection to a backend.
    pub connect_ms: f64,
    /// Interval of keepalive pings on connections to backends.
    pub keepalive_ms: f64,
    /// Time allowed for the response to a keepalive ping.
    pub keepalive_timeout_ms: f64,
    /// Grace period of open calls at shutdown; it begins after the listeners have closed.
    pub stop_ms: f64,
}

impl Default for GrpcLimits {
    fn default() -> Self {
        Self {
            clients: 64,
            streams_per_client: 100,
            calls: 2_048,
            connections: 64,
            connections_per_backend: 2,
            spread_above: 64,
            streams_per_connection: 100,
            header_bytes: 16_384,
            message_bytes: 4 << 20,
            window_bytes: 256 << 10,
            max_connection_window_bytes: u32::MAX,
            replay_bytes: 64 << 10,
            replay_total_bytes: 16 << 20,
            handshake_timeout_ms: 5_000.0,
            idle_ms: 300_000.0,
            connect_ms: 400.0,
            keepalive_ms: 10_000.0,
            keepalive_timeout_ms: 3_000.0,
            stop_ms: 2_500.0,
        }
    }
}

/// A limit outside its permitted range.
#[derive(Clone, Debug, PartialEq, Error)]
#[error("`{name}` is {value}, but must be between {min} and {max}")]
pub struct LimitError {
    name: &'static str,
    value: f64,
    min: f64,
    max: f64,
}

impl GrpcLimits {
    /// Checks each limit against its range.
    pub fn check(&self) -> Result<(), LimitError> {
        let ranges = [
            ("clients", self.clients as f64, 1.0, 65_536.0),
            ("streams_per_client", f64::from(self.streams_per_client), 1.0, 10_000.0),
            ("calls", self.calls as f64, 1.0, 1e6),
            ("connections", self.connections as f64, 1.0, 65_536.0),
            ("connections_per_backend", self.connections_per_backend as f64, 1.0, 64.0),
            ("spread", self.spread_above as f64, 1.0, 10_000.0),
            ("streams_per_connection", self.streams_per_connection as f64, 1.0, 10_000.0),
            ("header_bytes", f64::from(self.header_bytes), 1_024.0, 1_048_576.0),
            ("message_bytes", f64::from(self.message_bytes), 1_024.0, 1_073_741_824.0),
            ("window_bytes", f64::from(self.window_bytes), f64::from(MIN_WINDOW_BYTES), 16_777_216.0),
            ("replay_bytes", self.replay_bytes as f64, 0.0, 16_777_216.0),
            ("replay_total_bytes", self.replay_total_bytes as f64, 0.0, 1_073_741_824.0),
            ("first_ms", self.handshake_timeout_ms, 100.0, MAX_LIMIT_MS),
            ("idle_ms", self.idle_ms, 1_000.0, MAX_LIMIT_MS),
            ("connect_ms", self.connect_ms, 10.0, MAX_LIMIT_MS),
            ("keepalive_ms", self.keepalive_ms, 100.0, MAX_LIMIT_MS),
            ("keepalive_timeout_ms", self.keepalive_timeout_ms, 50.0, MAX_LIMIT_MS),
            ("stop_ms", self.stop_ms, 0.0, MAX_LIMIT_MS),
        ];
        for (name, value, min, max) in ranges {
            let is_within = value.is_finite() && value >= min && value <= max;
            if !is_within {
                return Err(LimitError { name, value, min, max });
            }
        }
        Ok(())
    }

    /// These limits, lowered to what fits into the memory for requests: a connection's streams and flow-control
    /// window, and the bytes buffered for retries.
    pub fn within_memory(&self, memory: &RequestMemory) -> Self {
        let connection_share = u32::try_from(memory.share_bytes(self.clients)).unwrap_or(u32::MAX);
        // The heads of all streams of a connection may be decoded before the first is accepted.
        let max_streams = memory.max_bytes() / 2 / (self.header_bytes as usize * HEAD_MEMORY_FACTOR);
        let max_streams = u32::try_from(max_streams).unwrap_or(u32::MAX);
        let connection_window = connection_share.max(MIN_WINDOW_BYTES);
        Self {
            max_connection_window_bytes: connection_window,
            window_bytes: self.window_bytes.min(connection_window),
            streams_per_client: self.streams_per_client.min(max_streams.max(1)),
            replay_total_bytes: self.replay_total_bytes.min(memory.max_bytes() / 2),
            ..self.clone()
        }
    }

    /// Flow-control window of a connection, in either direction.
    pub fn connection_window_bytes(&self) -> u32 {
        connection_window_bytes(self.window_bytes).min(self.max_connection_window_bytes)
    }

    /// The limits of the call table.
    pub fn call_table_limits(&self) -> CallTableLimits {
        CallTableLimits { open_calls: self.calls, replay_bytes: self.replay_total_bytes }
    }

    /// The limits of connections to backends.
    pub fn connection_limits(&self) -> ConnectionLimits {
        ConnectionLimits {
            total: self.connections,
            per_endpoint: self.connections_per_backend,
            spread_above: self.spread_above.min(self.streams_per_connection),
            streams_per_connection: self.streams_per_connection,
        }
    }
}

#[cfg(test)]
mod tests;
