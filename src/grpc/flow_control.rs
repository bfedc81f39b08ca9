//! HTTP/2 flow control (RFC 9113, section 5.2): connection window sizes, and sending within the receiver's
//! window.

use bytes::Bytes;
use h2::SendStream;
use std::future::poll_fn;

/// Size of a connection's flow-control window, in stream windows.
const CONNECTION_WINDOW_STREAMS: u32 = 4;
/// Maximum flow-control window of a connection, in bytes.
const MAX_CONNECTION_WINDOW_BYTES: u32 = 1 << 30;

/// The flow-control window of a connection whose streams have windows of `stream_bytes`.
pub fn connection_window_bytes(stream_bytes: u32) -> u32 {
    stream_bytes.saturating_mul(CONNECTION_WINDOW_STREAMS).min(MAX_CONNECTION_WINDOW_BYTES)
}

/// Sends a chunk, waiting for window capacity as needed. Returns false if the stream is closed.
pub async fn send_chunk(stream: &mut SendStream<Bytes>, mut chunk: Bytes) -> bool {
    while !chunk.is_empty() {
        stream.reserve_capacity(chunk.len());
        if stream.capacity() == 0 {
            match poll_fn(|context| stream.poll_capacity(context)).await {
                Some(Ok(_)) => continue,
                _ => return false,
            }
        }
        let part = chunk.split_to(chunk.len().min(stream.capacity()));
        if stream.send_data(part, false).is_err() {
            return false;
        }
    }
    true
}
