//! Reading and checking of JSON files that operators write: the errors that all of them share, and the forms
//! of values that several of them contain.

use crate::message_auth::{KeyError, MessageKeys};
use serde::de::DeserializeOwned;
use std::net::{AddrParseError, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use thiserror::Error;

/// The cause of an error, as the subsystem that found it typed it.
pub type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// A configuration file that cannot be used.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The file cannot be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The error of the system.
        source: std::io::Error,
    },
    /// The text is no JSON of the expected type.
    #[error("{}: {source}", path.display())]
    Malformed {
        /// The file.
        path: PathBuf,
        /// The error, with its place in the text.
        source: simd_json::Error,
    },
    /// The file lacks a key that it had when the process started.
    #[error("{}: key `{key}` is gone", path.display())]
    MissingKey {
        /// The file.
        path: PathBuf,
        /// The key, with the keys that enclose it.
        key: String,
    },
    /// The value of a field cannot be used.
    #[error("{}: field `{field}`: {source}", path.display())]
    Field {
        /// The file.
        path: PathBuf,
        /// The field.
        field: &'static str,
        /// What is wrong with its value.
        source: BoxError,
    },
}

impl ConfigError {
    /// An error of the field `field` of the file at `path`.
    pub fn field(path: &Path, field: &'static str, source: impl Into<BoxError>) -> Self {
        Self::Field { path: path.to_path_buf(), field, source: source.into() }
    }
}

/// A field whose value cannot be used, in a file that the caller knows.
#[derive(Debug, Error)]
#[error("field `{field}`: {source}")]
pub struct FieldError {
    /// The field.
    pub field: &'static str,
    /// What is wrong with its value.
    pub source: BoxError,
}

impl FieldError {
    /// An error of the field `field`.
    pub fn new(field: &'static str, source: impl Into<BoxError>) -> Self {
        Self { field, source: source.into() }
    }

    /// The same error with the file in which the field stands.
    pub fn in_file(self, path: &Path) -> ConfigError {
        ConfigError::Field { path: path.to_path_buf(), field: self.field, source: self.source }
    }
}

/// A text that is not the socket address of one host.
#[derive(Debug, Error)]
pub enum AddressError {
    /// The text is no `ADDRESS:PORT`.
    #[error("{text:?}: {source}")]
    Malformed {
        /// The text.
        text: String,
        /// The parser's error.
        source: AddrParseError,
    },
    /// The text is the unspecified address, which stands for all addresses of a host.
    #[error("{text:?} is not one address")]
    Unspecified {
        /// The text.
        text: String,
    },
}

/// A key file that cannot be used.
#[derive(Debug, Error)]
pub enum KeyFileError {
    /// The file cannot be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The error of the system.
        source: std::io::Error,
    },
    /// The text holds no usable keys.
    #[error("{}: {source}", path.display())]
    Malformed {
        /// The file.
        path: PathBuf,
        /// What is wrong with the keys.
        source: KeyError,
    },
}

/// Reads a JSON file into a type.
pub fn read_json<T: DeserializeOwned>(path: &Path) -> Result<T, ConfigError> {
    let mut text =
        std::fs::read(path).map_err(|source| ConfigError::Unreadable { path: path.to_path_buf(), source })?;
    simd_json::from_slice(&mut text)
        .map_err(|source| ConfigError::Malformed { path: path.to_path_buf(), source })
}

/// The path of `file`, which a file at `path` names relative to its own folder.
pub fn resolve_beside(path: &Path, file: &Path) -> PathBuf {
    path.parent().map_or_else(|| file.to_path_buf(), |folder| folder.join(file))
}

/// Reads the message keys of `file`, which a file at `path` names relative to its own folder.
pub fn read_keys_beside(path: &Path, file: &Path) -> Result<MessageKeys, KeyFileError> {
    let file = resolve_beside(path, file);
    let text = match std::fs::read_to_string(&file) {
        Ok(text) => text,
        Err(source) => return Err(KeyFileError::Unreadable { path: file, source }),
    };
    MessageKeys::parse(&text).map_err(|source| KeyFileError::Malformed { path: file, source })
}

/// Parses the socket address of one host, `ADDRESS:PORT`.
pub fn parse_address(text: &str) -> Result<SocketAddr, AddressError> {
    match text.parse::<SocketAddr>() {
        Ok(address) if address.ip() == Ipv4Addr::UNSPECIFIED => {
            Err(AddressError::Unspecified { text: text.to_string() })
        }
        Ok(address) => Ok(address),
        Err(source) => Err(AddressError::Malformed { text: text.to_string(), source }),
    }
}
