//! Reads and validates operators' JSON files: shared error types, and parsers for values that several files
//! contain.

use crate::message_auth::{KeyError, MessageKeys};
use serde::de::DeserializeOwned;
use std::net::{AddrParseError, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use thiserror::Error;

/// The type-erased cause of an error.
pub type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// A configuration file is invalid.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The file cannot be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The text is not JSON of the expected type.
    #[error("{}: {source}", path.display())]
    Malformed {
        /// The file.
        path: PathBuf,
        /// The parser's error, with its position in the text.
        source: simd_json::Error,
    },
    /// The reloaded file lacks a key that it had when the process started.
    #[error("{}: key `{key}` is missing", path.display())]
    MissingKey {
        /// The file.
        path: PathBuf,
        /// The key's path, with dots between the levels.
        key: String,
    },
    /// The value of a field is invalid.
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
    /// Creates an error for the field `field` of the file at `path`.
    pub fn field(path: &Path, field: &'static str, source: impl Into<BoxError>) -> Self {
        Self::Field { path: path.to_path_buf(), field, source: source.into() }
    }
}

/// The value of a field is invalid. The caller adds the file.
#[derive(Debug, Error)]
#[error("field `{field}`: {source}")]
pub struct FieldError {
    /// The field.
    pub field: &'static str,
    /// What is wrong with its value.
    pub source: BoxError,
}

impl FieldError {
    /// Creates an error for the field `field`.
    pub fn new(field: &'static str, source: impl Into<BoxError>) -> Self {
        Self { field, source: source.into() }
    }

    /// Adds the path of the file that contains the field.
    pub fn in_file(self, path: &Path) -> ConfigError {
        ConfigError::Field { path: path.to_path_buf(), field: self.field, source: self.source }
    }
}

/// A string is not the socket address of a single host.
#[derive(Debug, Error)]
pub enum AddressError {
    /// The text is not of the form `IP:PORT`.
    #[error("{text:?} is not of the form IP:PORT: {source}")]
    Malformed {
        /// The text.
        text: String,
        /// The parser's error.
        source: AddrParseError,
    },
    /// The text is the unspecified address, which means all addresses of a host.
    #[error("{text:?} is the unspecified address; the address of a single host is required")]
    Unspecified {
        /// The text.
        text: String,
    },
}

/// A key file is invalid.
#[derive(Debug, Error)]
pub enum KeyFileError {
    /// The file cannot be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The text does not contain valid keys.
    #[error("{}: {source}", path.display())]
    Malformed {
        /// The file.
        path: PathBuf,
        /// What is wrong with the keys.
        source: KeyError,
    },
}

/// Reads and deserializes a JSON file.
pub fn read_json<T: DeserializeOwned>(path: &Path) -> Result<T, ConfigError> {
    let mut text =
        std::fs::read(path).map_err(|source| ConfigError::Unreadable { path: path.to_path_buf(), source })?;
    simd_json::from_slice(&mut text)
        .map_err(|source| ConfigError::Malformed { path: path.to_path_buf(), source })
}

/// Resolves `file` relative to the folder of the configuration file at `config_path`.
pub fn resolve_relative_path(config_path: &Path, file: &Path) -> PathBuf {
    config_path.parent().map_or_else(|| file.to_path_buf(), |folder| folder.join(file))
}

/// Reads the message keys from `file`, relative to the folder of the configuration file at `config_path`.
pub fn read_message_keys(config_path: &Path, file: &Path) -> Result<MessageKeys, KeyFileError> {
    let file = resolve_relative_path(config_path, file);
    let text = match std::fs::read_to_string(&file) {
        Ok(text) => text,
        Err(source) => return Err(KeyFileError::Unreadable { path: file, source }),
    };
    MessageKeys::parse(&text).map_err(|source| KeyFileError::Malformed { path: file, source })
}

/// Parses the socket address of a single host, `IP:PORT`.
pub fn parse_address(text: &str) -> Result<SocketAddr, AddressError> {
    match text.parse::<SocketAddr>() {
        Ok(address) if address.ip() == Ipv4Addr::UNSPECIFIED => {
            Err(AddressError::Unspecified { text: text.to_string() })
        }
        Ok(address) => Ok(address),
        Err(source) => Err(AddressError::Malformed { text: text.to_string(), source }),
    }
}
