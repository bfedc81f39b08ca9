//! Length-prefixed messages in a stream of bytes: a byte that says whether it is compressed, four of length, and
//! the message. The tracker is fed bytes as they pass and keeps none of them.

/// Bytes of a message's prefix.
pub const PREFIX: usize = 5;

/// What is wrong with a stream of messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MessageError {
    /// The first byte of a prefix is neither 0 nor 1.
    #[error("a message's compressed-flag is {0}")]
    Flag(u8),
    /// A message is longer than allowed.
    #[error("a message of {0} bytes is over the limit")]
    TooLong(u32),
}

/// Where a stream of messages stands.
#[derive(Clone, Debug)]
pub struct MessageTracker {
    prefix: [u8; PREFIX],
    /// Bytes of the prefix that came.
    have: usize,
    /// Bytes of the message that are still to come.
    left: u32,
    most: u32,
    /// Whole messages that passed.
    pub messages: u64,
    /// Bytes that passed.
    pub bytes: u64,
}

impl MessageTracker {
    /// At a stream's start; messages may have at most `most` bytes.
    pub fn new(most: u32) -> Self {
        Self { prefix: [0; PREFIX], have: 0, left: 0, most, messages: 0, bytes: 0 }
    }

    /// Takes the next bytes of the stream.
    pub fn feed(&mut self, mut bytes: &[u8]) -> Result<(), MessageError> {
        self.bytes += bytes.len() as u64;
        while !bytes.is_empty() {
            if self.have < PREFIX {
                let n = (PREFIX - self.have).min(bytes.len());
                self.prefix[self.have..self.have + n].copy_from_slice(&bytes[..n]);
                self.have += n;
                bytes = &bytes[n..];
                if self.prefix[0] > 1 {
                    return Err(MessageError::Flag(self.prefix[0]));
                }
                if self.have < PREFIX {
                    return Ok(());
                }
                let [_, a, b, c, d] = self.prefix;
                self.left = u32::from_be_bytes([a, b, c, d]);
                if self.left > self.most {
                    return Err(MessageError::TooLong(self.left));
                }
            }
            let n = (self.left as usize).min(bytes.len());
            self.left -= n as u32;
            bytes = &bytes[n..];
            if self.left == 0 {
                self.have = 0;
                self.messages += 1;
            }
        }
        Ok(())
    }

    /// Whether the stream stands within a message: one that ends here was cut.
    pub fn within(&self) -> bool {
        self.have > 0
    }
}

#[cfg(test)]
mod tests;
