//! Authenticated datagrams between proxies: HMAC-SHA256 (RFC 2104) with replay protection. No I/O.
//!
//! A datagram is a message with a trailer of [`TRAILER_BYTES`] bytes: a sequence number that only grows (Unix
//! microseconds at the sender, 8 bytes, big-endian) and a signature over a label, the message and the
//! sequence number.

use crate::message_auth::{MessageKeys, SIGNATURE_BYTES};
use std::collections::HashMap;
use std::net::SocketAddr;
use thiserror::Error;

/// Length of a sequence number, in bytes.
const SEQUENCE_BYTES: usize = 8;
/// Length of the trailer, in bytes.
pub const TRAILER_BYTES: usize = SEQUENCE_BYTES + SIGNATURE_BYTES;

/// A datagram that is not authentic.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum AuthError {
    /// The datagram is too short for a message with a trailer.
    #[error("the datagram has no signature")]
    MissingSignature,
    /// The signature is that of no key.
    #[error("the signature matches no key")]
    WrongSignature,
    /// The sequence number is not above the last one of its sender.
    #[error("the sequence number was used before")]
    Replayed,
    /// The sequence number is further from this proxy's clock than the clocks may differ.
    #[error("the sequence number is too far from the clock")]
    ClockSkew,
}

/// Signs the datagrams of one protocol and verifies those of its peers.
#[derive(Debug)]
pub struct DatagramAuth {
    keys: MessageKeys,
    max_clock_skew_ms: f64,
    label: &'static [u8],
    last_sent: u64,
    /// The last sequence number of each peer.
    last_received: HashMap<SocketAddr, u64>,
}

impl DatagramAuth {
    /// Creates the authentication of one protocol.
    ///
    /// `label` separates protocols that use the same keys. `max_clock_skew_ms` is how far a peer's clock may
    /// be from this proxy's clock, in milliseconds.
    pub fn new(keys: MessageKeys, max_clock_skew_ms: f64, label: &'static [u8]) -> Self {
        Self { keys, max_clock_skew_ms, label, last_sent: 0, last_received: HashMap::new() }
    }

    /// Replaces the keys and keeps the sequence numbers.
    pub fn set_keys(&mut self, keys: MessageKeys) {
        self.keys = keys;
    }

    /// Returns the message with its trailer. `now` is in Unix milliseconds.
    pub fn sign(&mut self, now: f64, mut message: Vec<u8>) -> Vec<u8> {
        let sequence = ((now * 1_000.0) as u64).max(self.last_sent + 1);
        self.last_sent = sequence;
        let sequence = sequence.to_be_bytes();
        let signature = self.keys.sign(self.label, &[&message, &sequence]);
        message.extend(sequence);
        message.extend(signature);
        message
    }

    /// Returns the message of a datagram from the peer at `from`, without its trailer. `now` is in Unix
    /// milliseconds.
    pub fn verify<'d>(
        &mut self,
        now: f64,
        from: SocketAddr,
        datagram: &'d [u8],
    ) -> Result<&'d [u8], AuthError> {
        let message_bytes = datagram.len().checked_sub(TRAILER_BYTES).filter(|length| *length > 0);
        let (message, trailer) = datagram.split_at(message_bytes.ok_or(AuthError::MissingSignature)?);
        let (sequence, signature) = trailer.split_first_chunk::<SEQUENCE_BYTES>().expect("a whole trailer");
        if !self.keys.verify(self.label, &[message, sequence], signature) {
            return Err(AuthError::WrongSignature);
        }
        let sequence = u64::from_be_bytes(*sequence);
        // A proxy that has just started knows no sequence numbers: the clock protects it against old
        // datagrams.
        if (sequence as f64 / 1_000.0 - now).abs() > self.max_clock_skew_ms {
            return Err(AuthError::ClockSkew);
        }
        let last = self.last_received.entry(from).or_default();
        if sequence <= *last {
            return Err(AuthError::Replayed);
        }
        *last = sequence;
        Ok(message)
    }
}

#[cfg(test)]
mod tests;
