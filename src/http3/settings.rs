//! Sections of the configuration file: limits, resumable calls and the network path. Keys that
//! differ from the names of their fields are kept for compatibility with existing files.

use super::response_store::StoreLimits;
use serde::Deserialize;

/// Limits of connections and requests. Durations are in milliseconds.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Http3Limits {
    /// Maximum number of open QUIC connections.
    pub connections: usize,
    /// Maximum number of open TCP connections.
    pub tcp_connections: usize,
    /// Maximum number of concurrent requests on a QUIC connection.
    pub streams: u32,
    /// Maximum size of a header section, in bytes.
    pub header_bytes: u64,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Send window of a connection: maximum number of bytes that are buffered or not acknowledged.
    pub send_bytes: u64,
    /// Maximum size of a chunk of a response body, in bytes. The send scheduler decides before each chunk.
    #[serde(rename = "turn_bytes")]
    pub chunk_bytes: usize,
    /// Time limit of the QUIC handshake.
    pub handshake_ms: f64,
    /// Idle timeout of a connection.
    pub idle_ms: f64,
    /// Time limit for receiving a request's head, and separately its body.
    pub body_ms: f64,
}

impl Default for Http3Limits {
    fn default() -> Self {
        Self {
            connections: 256,
            tcp_connections: 64,
            streams: 64,
            header_bytes: 16_384,
            body_bytes: 48_000,
            send_bytes: 256 << 10,
            chunk_bytes: 16 << 10,
            handshake_ms: 10_000.0,
            idle_ms: 15_000.0,
            body_ms: 10_000.0,
        }
    }
}

/// Limits of resumable calls and of their stored responses. Durations are in milliseconds.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ResumableCallSettings {
    /// Maximum number of running and completed calls in the store.
    pub calls: usize,
    /// Maximum number of calls of one session.
    #[serde(rename = "per_session")]
    pub calls_per_session: usize,
    /// Maximum memory of calls and responses, in bytes.
    pub bytes: usize,
    /// Delay before a running read without connected clients is cancelled.
    #[serde(rename = "linger_ms")]
    pub cancel_after_ms: f64,
    /// Retention time of a read's response.
    pub keep_read_ms: f64,
    /// Retention time of a write's response.
    pub keep_write_ms: f64,
    /// Lifetime of a session token.
    #[serde(rename = "session_ms")]
    pub session_lifetime_ms: f64,
}

impl Default for ResumableCallSettings {
    fn default() -> Self {
        Self {
            calls: 8_192,
            calls_per_session: 64,
            bytes: 64 << 20,
            cancel_after_ms: 5_000.0,
            keep_read_ms: 10_000.0,
            keep_write_ms: 60_000.0,
            session_lifetime_ms: 86_400_000.0,
        }
    }
}

impl ResumableCallSettings {
    /// The limits of the response store.
    pub fn store_limits(&self) -> StoreLimits {
        StoreLimits {
            max_calls: self.calls,
            max_calls_per_session: self.calls_per_session,
            max_bytes: self.bytes,
            cancel_after_ms: self.cancel_after_ms,
            keep_read_ms: self.keep_read_ms,
            keep_write_ms: self.keep_write_ms,
        }
    }
}

/// Congestion control algorithm.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum CongestionControl {
    /// BBR, based on measured bandwidth and round-trip time: random loss does not reduce its rate.
    #[default]
    Bbr,
    /// CUBIC, based on loss (RFC 9438).
    Cubic,
}

/// Congestion control and loss detection (RFC 9002).
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PathSettings {
    /// Congestion control algorithm.
    #[serde(rename = "congestion")]
    pub congestion_control: CongestionControl,
    /// Reordering threshold, in packets, before a packet is declared lost (kPacketThreshold; RFC 9002
    /// recommends 3).
    #[serde(rename = "reorder_packets")]
    pub packet_threshold: u32,
    /// Reordering threshold, in round-trip times, before a packet is declared lost (kTimeThreshold; RFC 9002
    /// recommends 1.125).
    #[serde(rename = "reorder_trips")]
    pub time_threshold: f32,
    /// Round-trip time assumed before the first measurement, in milliseconds.
    #[serde(rename = "first_rtt_ms")]
    pub initial_rtt_ms: f64,
}

impl Default for PathSettings {
    fn default() -> Self {
        Self {
            congestion_control: CongestionControl::default(),
            packet_threshold: 32,
            time_threshold: 1.5,
            initial_rtt_ms: 200.0,
        }
    }
}
