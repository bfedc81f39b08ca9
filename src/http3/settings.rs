//! The sections of the operator file: limits, kept calls and the network path. The keys are those of the first version.

use super::response_store::StoreLimits;
use serde::Deserialize;

/// Limits of the front's connections; times are in milliseconds.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Http3Limits {
    /// Most QUIC connections.
    pub connections: usize,
    /// Most TCP connections.
    pub tcp_connections: usize,
    /// Most concurrent requests of a QUIC connection.
    pub streams: u32,
    /// Most bytes of a header section.
    pub header_bytes: u64,
    /// Most bytes of a request body.
    pub body_bytes: usize,
    /// Most bytes of responses that a connection's transport holds unacknowledged.
    pub send_bytes: u64,
    /// Bytes of a response body that are sent before others may be.
    #[serde(rename = "turn_bytes")]
    pub chunk_bytes: usize,
    /// Longest duration of a handshake.
    pub handshake_ms: f64,
    /// Longest silence of a connection.
    pub idle_ms: f64,
    /// Longest time for the head of a request, and for its body.
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

/// What is kept of calls beyond their connections; times are in milliseconds.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ResumableCallSettings {
    /// Most calls.
    pub calls: usize,
    /// Most calls of one session.
    #[serde(rename = "per_session")]
    pub calls_per_session: usize,
    /// Most bytes.
    pub bytes: usize,
    /// Time after which a read without clients is cancelled.
    #[serde(rename = "linger_ms")]
    pub cancel_after_ms: f64,
    /// Time for which the response of a read is kept.
    pub keep_read_ms: f64,
    /// Time for which the response of a write is kept.
    pub keep_write_ms: f64,
    /// Validity of a session token.
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
    /// Limits of the response store.
    pub fn store_limits(&self) -> StoreLimits {
        StoreLimits {
            calls: self.calls,
            calls_per_session: self.calls_per_session,
            bytes: self.bytes,
            cancel_after_ms: self.cancel_after_ms,
            keep_read_ms: self.keep_read_ms,
            keep_write_ms: self.keep_write_ms,
        }
    }
}

/// Congestion control of a connection.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum CongestionControl {
    /// BBR, by the measured bandwidth and round-trip time: random loss does not slow it down.
    #[default]
    Bbr,
    /// CUBIC, by losses (RFC 9438).
    Cubic,
}

/// The network paths to clients.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PathSettings {
    /// Congestion control.
    #[serde(rename = "congestion")]
    pub congestion_control: CongestionControl,
    /// Packets by which one is overtaken until it counts as lost; 3 in RFC 9002.
    #[serde(rename = "reorder_packets")]
    pub packet_threshold: u32,
    /// Round trips by which a packet is late until it counts as lost; 1.125 in RFC 9002.
    #[serde(rename = "reorder_trips")]
    pub time_threshold: f32,
    /// Initial estimate of the round-trip time, in milliseconds.
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
