//! The second front's file, and its keys while it runs.

use crate::config_file::{parse_address, read_json, AddressError, ConfigError};
use crate::engine::executor::Executor;
use crate::wire::front::ConnectionLimits;
use crate::wire::keys::{self, Key, KeyRing};
use crate::wire::signed::{SignedUrls, Verifier};
use serde::Deserialize;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::time::timeout;

/// How often the key file is looked at, in milliseconds.
const LOOK_MS: f64 = 500.0;
/// The longest key file, in bytes.
const MAX_KEY_FILE: u64 = 65_536;

/// The front's file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SignedUrlConfig {
    /// Where clients connect.
    listen: String,
    /// The JWK set, beside this file unless the path is absolute.
    keys: PathBuf,
    /// The issuer whose links are taken.
    issuer: String,
    /// The scheme of the links, as clients see it.
    #[serde(default = "http")]
    scheme: String,
    /// How far clocks may be apart, in milliseconds.
    #[serde(default = "leeway")]
    leeway_ms: f64,
    /// For how long a key that was rotated out is still good, in milliseconds.
    #[serde(default = "overlap")]
    overlap_ms: f64,
    /// Bounds of the connections.
    #[serde(default = "limits")]
    limits: ConnectionLimits,
}

fn http() -> String {
    "http".into()
}

fn leeway() -> f64 {
    2_000.0
}

fn overlap() -> f64 {
    60_000.0
}

fn limits() -> ConnectionLimits {
    ConnectionLimits { connections: 128, body_bytes: 0, write_ms: 30_000.0, ..ConnectionLimits::default() }
}

fn read_keys(path: &Path) -> Result<(Vec<u8>, HashMap<String, Key>), String> {
    let length = std::fs::metadata(path).map_err(|e| e.to_string())?.len();
    if length > MAX_KEY_FILE {
        return Err(format!("{length} bytes are too many"));
    }
    let text = std::fs::read(path).map_err(|e| e.to_string())?;
    let keys = keys::read(&text).map_err(|e| e.to_string())?;
    Ok((text, keys))
}

impl SignedUrlConfig {
    /// Reads and checks a front's file and its keys; the proxy has `sockets` descriptors.
    pub fn read(path: &Path, sockets: usize) -> Result<Self, ConfigError> {
        let mut front: Self = read_json(path)?;
        parse_address(&front.listen).map_err(|reason| ConfigError::field(path, "listen", reason))?;
        front.keys = path.parent().unwrap_or(Path::new("")).join(&front.keys);
        read_keys(&front.keys).map_err(|reason| {
            ConfigError::field(path, "keys", format!("{}: {reason}", front.keys.display()))
        })?;
        if front.issuer.is_empty() {
            return Err(ConfigError::field(path, "issuer", "it is empty"));
        }
        if !matches!(front.scheme.as_str(), "http" | "https") {
            return Err(ConfigError::field(
                path,
                "scheme",
                format!("{:?} is neither http nor https", front.scheme),
            ));
        }
        for (name, ms) in [("leeway_ms", front.leeway_ms), ("overlap_ms", front.overlap_ms)] {
            if !(0.0..=86_400_000.0).contains(&ms) {
                return Err(ConfigError::field(path, name, format!("{ms} is not within a day")));
            }
        }
        let l = &front.limits;
        if [l.first_ms, l.idle_ms, l.head_ms, l.body_ms, l.write_ms]
            .iter()
            .any(|ms| !(1.0..=3_600_000.0).contains(ms))
        {
            return Err(ConfigError::field(path, "limits", "a time is not within 1 ms to 1 hour"));
        }
        if l.connections == 0 || l.connections > sockets / 5 {
            return Err(ConfigError::field(
                path,
                "limits.connections",
                format!("{} is not within 1 to {}", l.connections, sockets / 5),
            ));
        }
        Ok(front)
    }

    /// Where clients connect.
    pub fn listen(&self) -> Result<SocketAddr, AddressError> {
        parse_address(&self.listen)
    }

    /// How many connections its clients may have.
    pub fn connections(&self) -> usize {
        self.limits.connections
    }

    /// The front that the file describes.
    pub fn front(&self, salt: u64) -> Result<SignedUrls, String> {
        let (_, keys) = read_keys(&self.keys)?;
        let keys = KeyRing::new(keys, self.overlap_ms);
        let verifier = Verifier { keys, issuer: self.issuer.clone(), leeway_ms: self.leeway_ms };
        Ok(SignedUrls::new(self.limits.clone(), self.scheme.clone(), verifier, salt))
    }
}

/// Keeps a front's keys as its file has them: at once when `reload` says so, else within [`LOOK_MS`]. A file
/// that can't be used changes nothing; it is logged once, by its fault and never by its text.
pub async fn keep_keys(
    host: Rc<Executor>,
    config: SignedUrlConfig,
    front: Rc<SignedUrls>,
    reload: Rc<Notify>,
) {
    let mut last = std::fs::read(&config.keys).unwrap_or_default();
    let mut fault = String::new();
    loop {
        let _ = timeout(crate::clock::duration_from_ms(LOOK_MS), reload.notified()).await;
        match read_keys(&config.keys) {
            Ok((text, _)) if text == last => fault.clear(),
            Ok((text, keys)) => {
                front.verifier.borrow_mut().keys.rotate(keys, host.clock.now());
                tracing::info!("new keys for signed links");
                last = text;
                fault.clear();
            }
            Err(reason) if reason == fault => {}
            Err(reason) => {
                tracing::warn!(%reason, "the old keys for signed links stay");
                fault = reason;
            }
        }
    }
}
