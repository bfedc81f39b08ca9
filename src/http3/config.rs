//! The operator file of the edge for poor links, `serve --poor FILE`. Without it there is no such front.

use super::response_store::ShelfBounds;
use super::session::Sessions;
use crate::config_file::{
    parse_address, read_json, read_keys_beside, resolve_beside, ConfigError, FieldError,
};
use crate::message_auth::MessageKeys;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Bounds of the front's connections; times are in milliseconds.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// QUIC connections at once.
    pub connections: usize,
    /// TCP connections at once.
    pub tcp_connections: usize,
    /// Requests at once on a QUIC connection.
    pub streams: u32,
    /// The longest list of headers.
    pub header_bytes: u64,
    /// The longest body.
    pub body_bytes: usize,
    /// Bytes of answers handed to a connection's transport and not yet acknowledged.
    pub send_bytes: u64,
    /// Bytes of a body that are handed over at once, between which others may go first.
    pub turn_bytes: usize,
    /// How long a handshake may take.
    pub handshake_ms: f64,
    /// How long a connection may be silent.
    pub idle_ms: f64,
    /// How long a request's body may take.
    pub body_ms: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 256,
            tcp_connections: 64,
            streams: 64,
            header_bytes: 16_384,
            body_bytes: 48_000,
            send_bytes: 256 << 10,
            turn_bytes: 16 << 10,
            handshake_ms: 10_000.0,
            idle_ms: 15_000.0,
            body_ms: 10_000.0,
        }
    }
}

/// What is held of calls beyond their connections; times are in milliseconds.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ShelfConfig {
    /// Calls held.
    pub calls: usize,
    /// Of one session.
    pub per_session: usize,
    /// Bytes held.
    pub bytes: usize,
    /// How long a read runs on without a client.
    pub linger_ms: f64,
    /// How long the answer to a read is kept.
    pub keep_read_ms: f64,
    /// How long the answer to a write is kept.
    pub keep_write_ms: f64,
    /// How long a session's token is good.
    pub session_ms: f64,
}

impl Default for ShelfConfig {
    fn default() -> Self {
        Self {
            calls: 8_192,
            per_session: 64,
            bytes: 64 << 20,
            linger_ms: 5_000.0,
            keep_read_ms: 10_000.0,
            keep_write_ms: 60_000.0,
            session_ms: 86_400_000.0,
        }
    }
}

/// How a connection finds out what its link bears.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Congestion {
    /// By its rate and round trip: losses that are the link's own do not slow it down.
    #[default]
    Bbr,
    /// By losses (RFC 9438).
    Cubic,
}

/// The path as its operator knows it.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PathConfig {
    /// See [`Congestion`].
    pub congestion: Congestion,
    /// Packets that may overtake one before it counts as lost; RFC 9002 says 3.
    pub reorder_packets: u32,
    /// Round trips that one may be late before it counts as lost; RFC 9002 says 1.125.
    pub reorder_trips: f32,
    /// The round trip that is assumed first, in milliseconds.
    pub first_rtt_ms: f64,
}

impl Default for PathConfig {
    fn default() -> Self {
        let congestion = Congestion::default();
        Self { congestion, reorder_packets: 32, reorder_trips: 1.5, first_rtt_ms: 200.0 }
    }
}

/// The operator file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Http3Config {
    /// Where it takes QUIC, over UDP.
    pub listen: String,
    /// Where it takes plain HTTP/1.1 for devices that UDP does not reach.
    #[serde(default)]
    pub tcp: Option<String>,
    /// The certificates, PEM, beside this file.
    pub certificate: PathBuf,
    /// Their key, PEM.
    pub key: PathBuf,
    /// Keys for sessions: base64, 32 bytes or more, one a line; without it a process makes its own.
    #[serde(default)]
    pub session_keys: Option<PathBuf>,
    /// Bounds.
    #[serde(default)]
    pub limits: Limits,
    /// What is held of calls.
    #[serde(default)]
    pub shelf: ShelfConfig,
    /// The path.
    #[serde(default)]
    pub path: PathConfig,
    /// The file.
    #[serde(skip)]
    pub file: PathBuf,
}

impl Http3Config {
    /// Reads and checks the file.
    pub fn read(path: &Path) -> Result<Self, ConfigError> {
        let mut config: Self = read_json(path)?;
        config.file = path.to_path_buf();
        config.check().map_err(|error| error.in_file(path))?;
        Ok(config)
    }

    fn check(&self) -> Result<(), FieldError> {
        parse_address(&self.listen).map_err(|reason| FieldError::new("listen", reason))?;
        if let Some(tcp) = &self.tcp {
            parse_address(tcp).map_err(|reason| FieldError::new("tcp", reason))?;
        }
        self.sessions().map_err(|reason| FieldError::new("session_keys", reason))?;
        super::server::server_config(self).map_err(|reason| FieldError::new("certificate", reason))?;
        let (l, s, p) = (&self.limits, &self.shelf, &self.path);
        let checks: [(&'static str, f64, f64, f64); 20] = [
            ("connections", l.connections as f64, 1.0, 65_536.0),
            ("tcp_connections", l.tcp_connections as f64, 1.0, 65_536.0),
            ("streams", f64::from(l.streams), 1.0, 10_000.0),
            ("header_bytes", l.header_bytes as f64, 1_024.0, 1_048_576.0),
            ("body_bytes", l.body_bytes as f64, 1.0, 16_777_216.0),
            ("send_bytes", l.send_bytes as f64, 16_384.0, 67_108_864.0),
            ("turn_bytes", l.turn_bytes as f64, 1_024.0, 1_048_576.0),
            ("handshake_ms", l.handshake_ms, 100.0, 60_000.0),
            ("idle_ms", l.idle_ms, 1_000.0, 600_000.0),
            ("body_ms", l.body_ms, 100.0, 600_000.0),
            ("calls", s.calls as f64, 1.0, 1e7),
            ("per_session", s.per_session as f64, 1.0, 1e6),
            ("bytes", s.bytes as f64, 65_536.0, 1e11),
            ("linger_ms", s.linger_ms, 0.0, 600_000.0),
            ("keep_read_ms", s.keep_read_ms, 0.0, 3_600_000.0),
            ("keep_write_ms", s.keep_write_ms, 1.0, 86_400_000.0),
            ("session_ms", s.session_ms, 1_000.0, 31_536_000_000.0),
            ("reorder_packets", f64::from(p.reorder_packets), 3.0, 10_000.0),
            ("reorder_trips", f64::from(p.reorder_trips), 1.0, 16.0),
            ("first_rtt_ms", p.first_rtt_ms, 1.0, 10_000.0),
        ];
        match checks.into_iter().find(|(_, v, low, high)| !(v.is_finite() && v >= low && v <= high)) {
            Some((field, v, low, high)) => {
                Err(FieldError::new(field, format!("{v} is not within {low} to {high}")))
            }
            None => Ok(()),
        }
    }

    /// A file that is named beside this one.
    pub fn resolve_beside(&self, file: &Path) -> PathBuf {
        resolve_beside(&self.file, file)
    }

    /// Where it takes QUIC.
    pub fn at(&self) -> SocketAddr {
        parse_address(&self.listen).expect("checked when read")
    }

    /// Where it takes TCP.
    pub fn tcp_at(&self) -> Option<SocketAddr> {
        self.tcp.as_ref().map(|tcp| parse_address(tcp).expect("checked when read"))
    }

    /// Sessions by the keys as they are by now.
    pub fn sessions(&self) -> Result<Sessions, String> {
        let keys = match &self.session_keys {
            None => MessageKeys::random(),
            Some(file) => read_keys_beside(&self.file, file).map_err(|error| error.to_string())?,
        };
        Ok(Sessions::new(keys, self.shelf.session_ms))
    }

    /// The shelf's bounds.
    pub fn shelf(&self) -> ShelfBounds {
        let s = &self.shelf;
        ShelfBounds {
            calls: s.calls,
            per_session: s.per_session,
            bytes: s.bytes,
            linger_ms: s.linger_ms,
            keep_read_ms: s.keep_read_ms,
            keep_write_ms: s.keep_write_ms,
        }
    }
}
