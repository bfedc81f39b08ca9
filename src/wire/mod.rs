//! What is spoken: each protocol a state machine that is fed bytes and knows no socket, a codec round it,
//! and a thin driver that reads and writes.

pub mod admin;
pub mod cache_codec;
pub mod cache_connection;
pub mod cache_message;
pub mod client_connection;
pub mod discovery;
pub mod discovery_codec;
pub mod discovery_json;
pub mod front;
pub mod http;
pub mod keys;
pub mod listener;
pub mod platform;
pub mod response_path;
pub mod shutdown;
pub mod signed;

use thiserror::Error;

/// Why a connection can't go on.
#[derive(Debug, Error)]
pub enum WireError {
    /// The socket failed.
    #[error("socket: {0}")]
    Socket(#[from] std::io::Error),
    /// The other side sent what its protocol doesn't allow.
    #[error("malformed: {0}")]
    Malformed(&'static str),
    /// A message stopped in its middle.
    #[error("stalled")]
    Stalled,
    /// More came than may be held.
    #[error("too large: {0}")]
    TooLarge(&'static str),
}
