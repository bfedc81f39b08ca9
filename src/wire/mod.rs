//! The protocols of the proxy: with clients ([`front`], [`listener`], [`platform`], [`signed_urls`],
//! [`admin`]), with caches ([`cache_connection`]) and with the discovery service ([`discovery`]).
//!
//! Codecs and parsers do no I/O. A driver around each reads and writes the socket, and passes messages to the
//! engine. The names that a protocol uses on the wire are constants and serde renames of its codec; message
//! types do not depend on them.

pub mod admin;
pub mod byte_range;
pub mod cache_codec;
pub mod cache_connection;
pub mod classification;
mod client_connection;
pub mod client_stream;
pub mod closable_listener;
mod connection_slots;
pub mod discovery;
pub mod discovery_codec;
pub mod discovery_json;
pub mod entity_tag;
pub mod front;
pub mod http;
pub mod http_codec;
pub mod listener;
pub mod platform;
pub mod platform_path;
pub mod shutdown;

pub mod signed_urls;
pub mod submission;
pub mod timestamped_stream;
