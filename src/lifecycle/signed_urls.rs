//! The operator file of signed URLs, `serve --signed-urls FILE`, and the reload of its key file while the process runs.

use crate::clock::duration_from_ms;
use crate::config_file::{parse_address, read_json, resolve_beside, AddressError, ConfigError, FieldError};
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

/// How often the key file is read, in milliseconds.
const KEY_FILE_INTERVAL_MS: f64 = 500.0;
/// The longest key file, in bytes.
const MAX_KEY_FILE_BYTES: u64 = 65_536;
/// The longest clock leeway and key overlap, in milliseconds: a day.
const MAX_TOLERANCE_MS: f64 = 86_400_000.0;
/// The bounds of the timeouts of connections, in milliseconds: 1 ms to 1 hour.
const TIMEOUTS_MS: RangeInclusive<f64> = 1.0..=3_600_000.0;
/// The file descriptors per connection of a client: a fifth of them may be clients of signed URLs.
const DESCRIPTORS_PER_CONNECTION: usize = 5;

/// A key file that cannot be used.
#[derive(Debug, Error)]
pub enum SignedUrlKeyError {
    /// The file cannot be read.
    #[error("{0}")]
    Unreadable(#[from] std::io::Error),
    /// The file is longer than any set of keys.
    #[error("{0} bytes are too many")]
    TooLong(u64),
    /// The text is no usable set of keys.
    #[error("{0}")]
    Malformed(#[from] JwkError),
}

/// What is wrong with a value of the file.
#[derive(Debug, Error)]
enum BadValue {
    #[error("{}: {source}", path.display())]
    Keys { path: PathBuf, source: SignedUrlKeyError },
    #[error("it is empty")]
    EmptyIssuer,
    #[error("{0:?} is neither http nor https")]
    Scheme(String),
    #[error("{0} is not within a day")]
    Tolerance(f64),
    #[error("a time is not within 1 ms to 1 hour")]
    Timeout,
    #[error("{connections} is not within 1 to {max}")]
    Connections { connections: usize, max: usize },
}

/// The operator file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SignedUrlConfig {
    /// The address of the front.
    listen: String,
    /// The JWK set, beside this file unless the path is absolute.
    keys: PathBuf,
    /// The issuer whose URLs are accepted.
    issuer: String,
    /// The scheme of the URLs, as clients see it.
    #[serde(default = "default_scheme")]
    scheme: String,
    /// How far clocks may be apart, in milliseconds.
    #[serde(default = "default_leeway_ms")]
    leeway_ms: f64,
    /// How long a key that was rotated out remains valid, in milliseconds.
    #[serde(default = "default_overlap_ms")]
    overlap_ms: f64,
    /// Bounds of the connections.
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

/// A key file as it was read.
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
    /// Reads and checks the file and its keys, for a process that may hold `max_descriptors` file descriptors.
    pub fn read(path: &Path, max_descriptors: usize) -> Result<Self, ConfigError> {
        let mut config: Self = read_json(path)?;
        parse_address(&config.listen).map_err(|reason| ConfigError::field(path, "listen", reason))?;
        config.keys = resolve_beside(path, &config.keys);
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

    /// The address of the front.
    pub fn listen(&self) -> Result<SocketAddr, AddressError> {
        parse_address(&self.listen)
    }

    /// How many connections its clients may have.
    pub fn connections(&self) -> usize {
        self.limits.connections
    }

    /// The front that the file describes; `salt` is random.
    pub fn front(&self, salt: u64) -> Result<SignedUrlFront, SignedUrlKeyError> {
        let keys = KeyRing::new(KeyFile::read(&self.keys)?.keys, self.overlap_ms);
        let verifier = TokenVerifier { keys, issuer: self.issuer.clone(), leeway_ms: self.leeway_ms };
        Ok(SignedUrlFront::new(self.limits.clone(), self.scheme.clone(), verifier, salt))
    }
}

/// Keeps a front's keys as its file has them: at once when `reload` is notified, else within `KEY_FILE_INTERVAL_MS`.
/// A file that cannot be used changes nothing; each fault is logged once, without the text of the file.
pub async fn follow_key_file(
    executor: Rc<Executor>,
    config: SignedUrlConfig,
    front: Rc<SignedUrlFront>,
    reload: Rc<Notify>,
) {
    let mut current = std::fs::read(&config.keys).unwrap_or_default();
    let mut last_fault = String::new();
    loop {
        let _ = timeout(duration_from_ms(KEY_FILE_INTERVAL_MS), reload.notified()).await;
        match KeyFile::read(&config.keys) {
            Ok(file) => {
                last_fault.clear();
                if file.text != current {
                    front.verifier.borrow_mut().keys.rotate(file.keys, executor.clock.now());
                    tracing::info!("signed URL keys reloaded");
                    current = file.text;
                }
            }
            Err(reason) => {
                let fault = reason.to_string();
                if fault != last_fault {
                    tracing::warn!(%reason, "signed URL keys not reloaded");
                    last_fault = fault;
                }
            }
        }
    }
}
