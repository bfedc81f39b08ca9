//! The configuration file of signed URLs (`--signed-urls FILE`), and the reload of its key file.

use crate::clock::duration_from_ms;
use crate::config_file::{
    parse_address, read_json, resolve_relative_path, AddressError, ConfigError, FieldError,
};
use crate::engine::executor::Executor;
use crate::wire::front::ConnectionLimits;
use crate::wire::signed_urls::front::SignedUrlFront;
use crate::wire::signed_urls::jwk::{parse_key_set, JwkError, KeySet};
use crate::wire::signed_urls::key_ring::KeyRing;
use crate::wire::signed_urls::verifier::TokenVerifier;
use serde::Deserialize;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use thiserror::Error;
use tokio::sync::Notify;
use tokio::time::timeout;

/// Interval between reads of the key file, in milliseconds.
const KEY_FILE_INTERVAL_MS: f64 = 500.0;
/// Maximum size of the key file, in bytes.
const MAX_KEY_FILE_BYTES: u64 = 65_536;
/// Maximum clock leeway and key overlap, in milliseconds: one day.
const MAX_TOLERANCE_MS: f64 = 86_400_000.0;
/// Valid range of connection timeouts, in milliseconds: 1 ms to 1 hour.
const TIMEOUTS_MS: RangeInclusive<f64> = 1.0..=3_600_000.0;
/// Descriptors per client: `limits.connections` may be at most a fifth of the descriptor limit.
const DESCRIPTORS_PER_CONNECTION: usize = 5;

/// A key file is invalid.
#[derive(Debug, Error)]
pub enum SignedUrlKeyError {
    /// The file cannot be read.
    #[error("{0}")]
    Unreadable(#[from] std::io::Error),
    /// The file exceeds the maximum size.
    #[error("{0} bytes are more than the maximum of {MAX_KEY_FILE_BYTES}")]
    TooLong(u64),
    /// The text is not a valid JWK set.
    #[error("{0}")]
    Malformed(#[from] JwkError),
}

/// Why a value of the file is invalid.
#[derive(Debug, Error)]
enum BadValue {
    #[error("{}: {source}", path.display())]
    Keys { path: PathBuf, source: SignedUrlKeyError },
    #[error("the issuer is empty")]
    EmptyIssuer,
    #[error("{0:?} is neither http nor https")]
    Scheme(String),
    #[error("{0} ms is not between 0 and {MAX_TOLERANCE_MS} ms")]
    Tolerance(f64),
    #[error("`first_ms`, `idle_ms`, `head_ms`, `body_ms` and `write_ms` must be between 1 ms and 1 hour")]
    Timeout,
    #[error("{connections} is not between 1 and {max}, a fifth of the descriptor limit")]
    Connections { connections: usize, max: usize },
}

/// The configuration file of signed URLs.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SignedUrlConfig {
    /// The listen address of the front.
    listen: String,
    /// The file of the JWK set, relative to the folder of this file.
    keys: PathBuf,
    /// The issuer whose URLs are accepted.
    issuer: String,
    /// The scheme of the URLs as clients see them.
    #[serde(default = "default_scheme")]
    scheme: String,
    /// Permitted clock skew, in milliseconds.
    #[serde(default = "default_leeway_ms")]
    leeway_ms: f64,
    /// How long a key that was rotated out remains valid, in milliseconds.
    #[serde(default = "default_overlap_ms")]
    overlap_ms: f64,
    /// Limits of client connections.
    #[serde(default = "default_limits")]
    limits: ConnectionLimits,
}

fn default_scheme() -> String {
    "http".into()
}

fn default_leeway_ms() -> f64 {
    2_000.0
}

fn default_overlap_ms() -> f64 {
    60_000.0
}

fn default_limits() -> ConnectionLimits {
    ConnectionLimits { connections: 128, body_bytes: 0, write_ms: 30_000.0, ..ConnectionLimits::default() }
}

/// The contents of a key file.
struct KeyFile {
    text: Vec<u8>,
    keys: KeySet,
}

impl KeyFile {
    fn read(path: &Path) -> Result<Self, SignedUrlKeyError> {
        let length = std::fs::metadata(path)?.len();
        if length > MAX_KEY_FILE_BYTES {
            return Err(SignedUrlKeyError::TooLong(length));
        }
        let text = std::fs::read(path)?;
        let keys = parse_key_set(&text)?;
        Ok(Self { text, keys })
    }
}

impl SignedUrlConfig {
    /// Reads and validates the file and its keys, for a process with a limit of `max_descriptors` file
    /// descriptors.
    pub fn read(path: &Path, max_descriptors: usize) -> Result<Self, ConfigError> {
        let mut config: Self = read_json(path)?;
        parse_address(&config.listen).map_err(|reason| ConfigError::field(path, "listen", reason))?;
        config.keys = resolve_relative_path(path, &config.keys);
        config.check(max_descriptors).map_err(|error| error.in_file(path))?;
        Ok(config)
    }

    fn check(&self, max_descriptors: usize) -> Result<(), FieldError> {
        if let Err(source) = KeyFile::read(&self.keys) {
            return Err(FieldError::new("keys", BadValue::Keys { path: self.keys.clone(), source }));
        }
        if self.issuer.is_empty() {
            return Err(FieldError::new("issuer", BadValue::EmptyIssuer));
        }
        if !matches!(self.scheme.as_str(), "http" | "https") {
            return Err(FieldError::new("scheme", BadValue::Scheme(self.scheme.clone())));
        }
        for (field, ms) in [("leeway_ms", self.leeway_ms), ("overlap_ms", self.overlap_ms)] {
            if !(0.0..=MAX_TOLERANCE_MS).contains(&ms) {
                return Err(FieldError::new(field, BadValue::Tolerance(ms)));
            }
        }
        let ConnectionLimits { first_ms, idle_ms, head_ms, body_ms, write_ms, connections, .. } = self.limits;
        if ![first_ms, idle_ms, head_ms, body_ms, write_ms].iter().all(|ms| TIMEOUTS_MS.contains(ms)) {
            return Err(FieldError::new("limits", BadValue::Timeout));
        }
        let max = max_descriptors / DESCRIPTORS_PER_CONNECTION;
        if connections == 0 || connections > max {
            return Err(FieldError::new("limits.connections", BadValue::Connections { connections, max }));
        }
        Ok(())
    }

    /// The listen address of the front.
    pub fn listen(&self) -> Result<SocketAddr, AddressError> {
        parse_address(&self.listen)
    }

    /// Maximum number of client connections.
    pub fn max_connections(&self) -> usize {
        self.limits.connections
    }

    /// Creates the front. `salt` differs between restarts, so that request ids are not reused.
    pub fn front(&self, salt: u64) -> Result<SignedUrlFront, SignedUrlKeyError> {
        let keys = KeyRing::new(KeyFile::read(&self.keys)?.keys, self.overlap_ms);
        let verifier = TokenVerifier { keys, issuer: self.issuer.clone(), leeway_ms: self.leeway_ms };
        Ok(SignedUrlFront::new(self.limits.clone(), self.scheme.clone(), verifier, salt))
    }
}

/// Reloads a front's keys when their file changes: immediately when `reload` is notified, otherwise within
/// `KEY_FILE_INTERVAL_MS`. An invalid file leaves the keys unchanged; repeated errors are logged once,
/// without the contents of the file.
pub async fn follow_key_file(
    executor: Rc<Executor>,
    config: SignedUrlConfig,
    front: Rc<SignedUrlFront>,
    reload: Rc<Notify>,
) {
    let mut current = std::fs::read(&config.keys).unwrap_or_default();
    let mut last_error = String::new();
    loop {
        let _ = timeout(duration_from_ms(KEY_FILE_INTERVAL_MS), reload.notified()).await;
        match KeyFile::read(&config.keys) {
            Ok(file) => {
                last_error.clear();
                if file.text != current {
                    front.verifier.borrow_mut().keys.rotate(file.keys, executor.clock.now());
                    tracing::info!("signed URL keys reloaded");
                    current = file.text;
                }
            }
            Err(reason) => {
                let message = reason.to_string();
                if message != last_error {
                    tracing::warn!(%reason, "signed URL keys not reloaded");
                    last_error = message;
                }
            }
        }
    }
}
