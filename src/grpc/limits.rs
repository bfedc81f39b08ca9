//! The bounds of gRPC pass-through, `limits` of its operator file.

use super::call_table::Bounds;
use crate::state::connections::ConnectionLimits;
use serde::Deserialize;
use thiserror::Error;

/// The greatest time that a field of `limits` may have, in milliseconds.
const MAX_LIMIT_MS: f64 = 3_600_000.0;
/// Bounds of the front; times are in milliseconds.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct GrpcLimits {
    /// Clients' connections at once.
    pub clients: usize,
    /// Calls at once on one of them.
    pub streams_per_client: u32,
    /// Calls at once.
    pub calls: usize,
    /// Connections to backends at once.
    pub connections: usize,
    /// Connections to one backend.
    pub connections_per_backend: usize,
    /// Calls on a connection to a backend from which on another connection is opened.
    pub spread: usize,
    /// Calls on a connection to a backend.
    pub streams_per_connection: usize,
    /// The longest list of headers, either way.
    pub header_bytes: u32,
    /// The longest message, either way.
    pub message_bytes: u32,
    /// A stream's window, either way: what waits here of one call for a slow reader.
    pub window_bytes: u32,
    /// Bytes of a call's request that are kept for a retry.
    pub replay_bytes: usize,
    /// Bytes of all calls' requests that are kept for a retry.
    pub replay_total_bytes: usize,
    /// How long a client's preface and settings may take.
    pub first_ms: f64,
    /// How long a client's connection may be without a call.
    pub idle_ms: f64,
    /// How long a connection to a backend may take to be established.
    pub connect_ms: f64,
    /// How often a connection to a backend is pinged.
    pub keepalive_ms: f64,
    /// How long the answer to a ping may take.
    pub keepalive_timeout_ms: f64,
    /// How long open calls may go on after SIGTERM and the 0.7 s in which new ones are accepted.
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
            spread: 64,
            streams_per_connection: 100,
            header_bytes: 16_384,
            message_bytes: 4 << 20,
            window_bytes: 256 << 10,
            replay_bytes: 64 << 10,
            replay_total_bytes: 16 << 20,
            first_ms: 5_000.0,
            idle_ms: 300_000.0,
            connect_ms: 400.0,
            keepalive_ms: 10_000.0,
            keepalive_timeout_ms: 3_000.0,
            stop_ms: 2_500.0,
        }
    }
}

/// A bound that is out of its range.
#[derive(Clone, Debug, PartialEq, Error)]
#[error("`{name}` {value} is not within {min} to {max}")]
pub struct LimitError {
    name: &'static str,
    value: f64,
    min: f64,
    max: f64,
}

impl GrpcLimits {
    /// Checks every bound against its range.
    pub fn check(&self) -> Result<(), LimitError> {
        let ranges = [
            ("clients", self.clients as f64, 1.0, 65_536.0),
            ("streams_per_client", f64::from(self.streams_per_client), 1.0, 10_000.0),
            ("calls", self.calls as f64, 1.0, 1e6),
            ("connections", self.connections as f64, 1.0, 65_536.0),
            ("connections_per_backend", self.connections_per_backend as f64, 1.0, 64.0),
            ("spread", self.spread as f64, 1.0, 10_000.0),
            ("streams_per_connection", self.streams_per_connection as f64, 1.0, 10_000.0),
            ("header_bytes", f64::from(self.header_bytes), 1_024.0, 1_048_576.0),
            ("message_bytes", f64::from(self.message_bytes), 1_024.0, 1_073_741_824.0),
            ("window_bytes", f64::from(self.window_bytes), 65_535.0, 16_777_216.0),
            ("replay_bytes", self.replay_bytes as f64, 0.0, 16_777_216.0),
            ("replay_total_bytes", self.replay_total_bytes as f64, 0.0, 1_073_741_824.0),
            ("first_ms", self.first_ms, 100.0, MAX_LIMIT_MS),
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

    /// The bounds of open calls.
    pub fn of_calls(&self) -> Bounds {
        Bounds { calls: self.calls, replay_total: self.replay_total_bytes }
    }

    /// The bounds of connections to backends.
    pub fn of_connections(&self) -> ConnectionLimits {
        ConnectionLimits {
            total: self.connections,
            per_endpoint: self.connections_per_backend,
            spread_above: self.spread.min(self.streams_per_connection),
            streams: self.streams_per_connection,
        }
    }
}
