//! Sending within the receiver's flow-control window (RFC 9113, section 5.2).

use bytes::Bytes;
use h2::SendStream;
use std::future::poll_fn;

/// Sends a chunk as the receiver's window allows. Returns false where the receiver accepts no more.
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
