//! QUIC (RFC 9000) and TLS configuration. Early data (0-RTT) is disabled: it can be replayed (RFC 8470).

use super::settings::{CongestionControl, Http3Limits, PathSettings};
use crate::clock::duration_from_ms;
use quinn::congestion::{BbrConfig, CubicConfig};
use quinn::crypto::rustls::{NoInitialCipherSuite, QuicServerConfig};
use quinn::{IdleTimeout, ServerConfig, TransportConfig, VarInt};
use rustls::pki_types::pem::{self, PemObject};
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use thiserror::Error;

/// ALPN protocol identifier of HTTP/3 (RFC 9114, section 3.1).
const ALPN: &[u8] = b"h3";
/// Maximum number of unidirectional streams of a client: the control stream, two for QPACK, and some in
/// reserve for extensions.
const MAX_UNI_STREAMS: u32 = 8;

/// Flow-control window of a stream, in bytes: what a client may send before it is read. A request has a head of
/// some KB and a body of some tens of KB.
const STREAM_WINDOW_BYTES: u32 = 64 << 10;
/// Flow-control window of a connection, in bytes.
const CONNECTION_WINDOW_BYTES: u32 = 128 << 10;

/// Paths of the certificate and key files.
#[derive(Clone, Debug)]
pub struct TlsFiles {
    /// PEM file with the certificate chain.
    pub certificate: PathBuf,
    /// PEM file with the private key.
    pub key: PathBuf,
}

/// Reason why the TLS configuration cannot be built.
#[derive(Debug, Error)]
pub enum TlsError {
    /// A file cannot be read.
    #[error("cannot read {}: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The I/O error.
        source: io::Error,
    },
    /// A file holds no valid PEM section of the expected kind.
    #[error("invalid PEM in {}: {source}", path.display())]
    Malformed {
        /// The file.
        path: PathBuf,
        /// The parser's error.
        source: pem::Error,
    },
    /// The certificate chain or the key is not supported, or they do not match.
    #[error("cannot use the certificate in {}: {source}", path.display())]
    Unusable {
        /// The certificate file.
        path: PathBuf,
        /// The TLS error.
        source: rustls::Error,
    },
    /// TLS 1.3 is not available.
    #[error("TLS 1.3 is not available: {0}")]
    Version(rustls::Error),
    /// The cipher suite of QUIC's Initial packets is not available.
    #[error(transparent)]
    CipherSuite(#[from] NoInitialCipherSuite),
}

impl TlsFiles {
    fn read(path: &Path) -> Result<Vec<u8>, TlsError> {
        std::fs::read(path).map_err(|source| TlsError::Unreadable { path: path.to_path_buf(), source })
    }

    fn certificates(&self) -> Result<Vec<CertificateDer<'static>>, TlsError> {
        let text = Self::read(&self.certificate)?;
        let certificates: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(&text).collect();
        certificates.map_err(|source| TlsError::Malformed { path: self.certificate.clone(), source })
    }

    fn private_key(&self) -> Result<PrivateKeyDer<'static>, TlsError> {
        let text = Self::read(&self.key)?;
        PrivateKeyDer::from_pem_slice(&text)
            .map_err(|source| TlsError::Malformed { path: self.key.clone(), source })
    }

    /// Reads the files and builds the TLS server configuration.
    fn tls_config(&self) -> Result<rustls::ServerConfig, TlsError> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let mut tls = rustls::ServerConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(TlsError::Version)?
            .with_no_client_auth()
            .with_single_cert(self.certificates()?, self.private_key()?)
            .map_err(|source| TlsError::Unusable { path: self.certificate.clone(), source })?;
        tls.alpn_protocols = vec![ALPN.to_vec()];
        tls.max_early_data_size = 0;
        Ok(tls)
    }
}

/// Reads the certificate and key files and builds the QUIC server configuration.
pub fn server_config(
    files: &TlsFiles,
    limits: &Http3Limits,
    path: &PathSettings,
) -> Result<ServerConfig, TlsError> {
    let crypto = QuicServerConfig::try_from(files.tls_config()?)?;
    let mut server = ServerConfig::with_crypto(Arc::new(crypto));
    server.transport_config(Arc::new(transport_config(limits, path)));
    // Connection migration: a client keeps its connection when its address changes (RFC 9000, section 9).
    server.migration(true);
    Ok(server)
}

/// Builds the QUIC transport configuration of a server or a client.
pub fn transport_config(limits: &Http3Limits, path: &PathSettings) -> TransportConfig {
    let mut transport = TransportConfig::default();
    transport
        .stream_receive_window(VarInt::from_u32(STREAM_WINDOW_BYTES))
        .receive_window(VarInt::from_u32(CONNECTION_WINDOW_BYTES))
        .max_concurrent_bidi_streams(VarInt::from_u32(limits.streams))
        .max_concurrent_uni_streams(VarInt::from_u32(MAX_UNI_STREAMS))
        .max_idle_timeout(Some(IdleTimeout::from(VarInt::from_u32(limits.idle_ms as u32))))
        .send_window(limits.send_bytes)
        .packet_threshold(path.packet_threshold)
        .time_threshold(path.time_threshold)
        .initial_rtt(duration_from_ms(path.initial_rtt_ms));
    match path.congestion_control {
        CongestionControl::Bbr => {
            transport.congestion_controller_factory(Arc::new(BbrConfig::default()));
        }
        CongestionControl::Cubic => {
            transport.congestion_controller_factory(Arc::new(CubicConfig::default()));
        }
    }
    transport
}
