//! What is spoken: each protocol a state machine that is fed bytes and knows no socket, a codec round it,
//! and a thin driver that reads and writes.

pub mod admin;
pub mod byte_range;
pub mod cache_codec;
pub mod cache_connection;
mod client_connection;
pub mod client_stream;
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
pub mod shutdown;
pub mod signed_urls;
pub mod submission;
