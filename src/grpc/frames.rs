//! Length-prefixed messages in a byte stream (gRPC over HTTP/2): a one-byte compressed flag, a four-byte
//! length and the message. The tracker validates prefixes and finds message boundaries without buffering
//! messages.

/// Length of a message prefix, in bytes.
pub const PREFIX_BYTES: usize = 5;

/// A byte stream that violates the framing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MessageError {
    /// The compressed flag is neither 0 nor 1.
    #[error("invalid compressed flag {0} in a message prefix")]
    Flag(u8),
    /// A message exceeds the size limit.
    #[error("a message of {0} bytes exceeds the size limit")]
    TooLong(u32),
}

/// Tracks the position in a stream of messages.
#[derive(Clone, Debug)]
pub struct MessageTracker {
    prefix: [u8; PREFIX_BYTES],
    /// Number of prefix bytes read; 0 between messages.
    prefix_bytes: usize,
    /// Number of message bytes still expected.
    remaining: u32,
    max_message_bytes: u32,
    /// Number of complete messages so far.
    pub messages: u64,
    /// Number of bytes so far.
    pub bytes: u64,
}

impl MessageTracker {
    /// Creates a tracker at the start of a stream, for messages of at most `max_message_bytes`.
    pub fn new(max_message_bytes: u32) -> Self {
        Self {
            prefix: [0; PREFIX_BYTES],
            prefix_bytes: 0,
            remaining: 0,
            max_message_bytes,
            messages: 0,
            bytes: 0,
        }
    }

    /// Processes the next bytes of the stream.
    pub fn feed(&mut self, mut bytes: &[u8]) -> Result<(), MessageError> {
        self.bytes += bytes.len() as u64;
        while !bytes.is_empty() {
            if self.prefix_bytes < PREFIX_BYTES {
                let n = (PREFIX_BYTES - self.prefix_bytes).min(bytes.len());
                self.prefix[self.prefix_bytes..self.prefix_bytes + n].copy_from_slice(&bytes[..n]);
                self.prefix_bytes += n;
                bytes = &bytes[n..];
                if self.prefix[0] > 1 {
                    return Err(MessageError::Flag(self.prefix[0]));
                }
                if self.prefix_bytes < PREFIX_BYTES {
                    return Ok(());
                }
                let [_, a, b, c, d] = self.prefix;
                self.remaining = u32::from_be_bytes([a, b, c, d]);
                if self.remaining > self.max_message_bytes {
                    return Err(MessageError::TooLong(self.remaining));
                }
            }
            let n = (self.remaining as usize).min(bytes.len());
            self.remaining -= n as u32;
            bytes = &bytes[n..];
            if self.remaining == 0 {
                self.prefix_bytes = 0;
                self.messages += 1;
            }
        }
        Ok(())
    }

    /// Whether the position is inside a message, so that a stream that ends here is truncated.
    pub fn is_within_message(&self) -> bool {
        self.prefix_bytes > 0
    }
}

#[cfg(test)]
mod tests;
