//! Configuration file of HTTP/3, given by `serve --http3 FILE`. Without it HTTP/3 is disabled.

use super::session::SessionTokens;
use super::settings::{Http3Limits, PathSettings, ResumableCallSettings};
use super::transport::{server_config, transport_config, TlsError, TlsFiles};
use crate::config_file::{
    parse_address, read_json, read_message_keys, resolve_relative_path, ConfigError, FieldError, KeyFileError,
};
use crate::message_auth::MessageKeys;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Contents of the configuration file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Http3Config {
    /// UDP address on which QUIC listens.
    pub listen: String,
    /// Address on which HTTP/1.1 over TCP listens, without TLS, for clients whose network blocks UDP.
    #[serde(default)]
    pub tcp: Option<String>,
    /// PEM file with the certificate chain, relative to this file.
    pub certificate: PathBuf,
    /// PEM file with the private key, relative to this file.
    pub key: PathBuf,
    /// Key file for session tokens, relative to this file. Without it a random key is generated at startup,
    /// and tokens are valid only in this process.
    #[serde(default)]
    pub session_keys: Option<PathBuf>,
    /// Limits of connections and requests.
    #[serde(default)]
    pub limits: Http3Limits,
    /// Limits of resumable calls and of their stored responses.
    #[serde(rename = "shelf", default)]
    pub resumable_calls: ResumableCallSettings,
    /// Congestion control and loss detection.
    #[serde(rename = "path", default)]
    pub path_settings: PathSettings,
    /// Path of this file.
    #[serde(skip)]
    pub file: PathBuf,
}

impl Http3Config {
    /// Reads and validates the file and the files that it names.
    pub fn read(path: &Path) -> Result<Self, ConfigError> {
        let mut config: Self = read_json(path)?;
        config.file = path.to_path_buf();
        config.check().map_err(|error| error.in_file(path))?;
        Ok(config)
    }

    fn check(&self) -> Result<(), FieldError> {
        parse_address(&self.listen).map_err(|error| FieldError::new("listen", error))?;
        if let Some(tcp) = &self.tcp {
            parse_address(tcp).map_err(|error| FieldError::new("tcp", error))?;
        }
        self.session_tokens().map_err(|error| FieldError::new("session_keys", error))?;
        self.server_config().map_err(|error| FieldError::new("certificate", error))?;
        self.check_ranges()
    }

    fn check_ranges(&self) -> Result<(), FieldError> {
        let (limits, calls, path) = (&self.limits, &self.resumable_calls, &self.path_settings);
        let bounds = [
            ("limits.connections", limits.connections as f64, 1.0, 65_536.0),
            ("limits.tcp_connections", limits.tcp_connections as f64, 1.0, 65_536.0),
            ("limits.streams", f64::from(limits.streams), 1.0, 10_000.0),
            ("limits.header_bytes", limits.header_bytes as f64, 1_024.0, 1_048_576.0),
            ("limits.body_bytes", limits.body_bytes as f64, 1.0, 16_777_216.0),
            ("limits.send_bytes", limits.send_bytes as f64, 16_384.0, 67_108_864.0),
            ("limits.turn_bytes", limits.chunk_bytes as f64, 1_024.0, 1_048_576.0),
            ("limits.handshake_ms", limits.handshake_ms, 100.0, 60_000.0),
            ("limits.idle_ms", limits.idle_ms, 1_000.0, 600_000.0),
            ("limits.body_ms", limits.body_ms, 100.0, 600_000.0),
            ("shelf.calls", calls.calls as f64, 1.0, 1e7),
            ("shelf.per_session", calls.calls_per_session as f64, 1.0, 1e6),
            ("shelf.bytes", calls.bytes as f64, 65_536.0, 1e11),
            ("shelf.linger_ms", calls.cancel_after_ms, 0.0, 600_000.0),
            ("shelf.keep_read_ms", calls.keep_read_ms, 0.0, 3_600_000.0),
            ("shelf.keep_write_ms", calls.keep_write_ms, 1.0, 86_400_000.0),
            ("shelf.session_ms", calls.session_lifetime_ms, 1_000.0, 31_536_000_000.0),
            ("path.reorder_packets", f64::from(path.packet_threshold), 3.0, 10_000.0),
            ("path.reorder_trips", f64::from(path.time_threshold), 1.0, 16.0),
            ("path.first_rtt_ms", path.initial_rtt_ms, 1.0, 10_000.0),
        ];
        for (field, value, min, max) in bounds {
            if !value.is_finite() || !(min..=max).contains(&value) {
                return Err(FieldError::new(field, format!("{value} is not between {min} and {max}")));
            }
        }
        Ok(())
    }

    /// UDP address on which QUIC listens.
    pub fn quic_address(&self) -> SocketAddr {
        parse_address(&self.listen).expect("validated by `read`")
    }

    /// TCP address on which HTTP/1.1 listens, if it is configured.
    pub fn tcp_address(&self) -> Option<SocketAddr> {
        self.tcp.as_ref().map(|tcp| parse_address(tcp).expect("validated by `read`"))
    }

    /// Paths of the certificate and key files.
    pub fn tls_files(&self) -> TlsFiles {
        let resolve = |file: &Path| resolve_relative_path(&self.file, file);
        TlsFiles { certificate: resolve(&self.certificate), key: resolve(&self.key) }
    }

    /// Reads the certificate and key files and builds the QUIC server configuration.
    pub fn server_config(&self) -> Result<quinn::ServerConfig, TlsError> {
        server_config(&self.tls_files(), &self.limits, &self.path_settings)
    }

    /// Builds the QUIC transport configuration of a server or a client.
    pub fn transport_config(&self) -> quinn::TransportConfig {
        transport_config(&self.limits, &self.path_settings)
    }

    /// Reads the keys that sign session tokens, or generates a random one if no file is configured.
    pub fn session_tokens(&self) -> Result<SessionTokens, KeyFileError> {
        let keys = match &self.session_keys {
            Some(file) => read_message_keys(&self.file, file)?,
            None => MessageKeys::random(),
        };
        Ok(SessionTokens::new(keys, self.resumable_calls.session_lifetime_ms))
    }
}
