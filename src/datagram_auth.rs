//! Authenticated datagrams between proxies: HMAC-SHA256 (RFC 2104) with replay protection. No I/O.
//!
//! A datagram is a message followed by a trailer of [`TRAILER_BYTES`] bytes: a strictly increasing sequence
//! number (the sender's Unix time in microseconds, 8 bytes, big-endian) and a signature over a label, the
//! message and the sequence number.

use crate::message_auth::{MessageKeys, SIGNATURE_BYTES};
use std::collections::HashMap;
use std::net::SocketAddr;
use thiserror::Error;

/// Length of a sequence number, in bytes.
const SEQUENCE_BYTES: usize = 8;
/// Length of the trailer, in bytes.
pub const TRAILER_BYTES: usize = SEQUENCE_BYTES + SIGNATURE_BYTES;

/// A datagram failed authentication.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum AuthError {
    /// The datagram is too short for a message with a trailer.
    #[error("the datagram has no signature")]
    MissingSignature,
    /// The signature matches none of the keys.
    #[error("the signature matches no key")]
    WrongSignature,
    /// The sequence number is not above the last one of its sender.
    #[error("the sequence number is not above the last one of its sender")]
    Replayed,
    /// The sequence number differs from this proxy's clock by more than the permitted clock skew.
    #[error("the sequence number differs from this proxy's clock by more than the permitted clock skew")]
    ClockSkew,
}

/// Signs outgoing datagrams of one protocol and verifies those of its peers.
#[derive(Debug)]
pub struct DatagramAuth {
    keys: MessageKeys,
    max_clock_skew_ms: f64,
    label: &'static [u8],
    last_sent: u64,
    /// The last sequence number received from each peer.
    last_received: HashMap<SocketAddr, u64>,
}

impl DatagramAuth {
    /// Creates the authentication state of one protocol.
    ///
    /// `label` separates protocols that share keys. `max_clock_skew_ms` is the permitted difference between a
    /// peer's clock and this proxy's clock, in milliseconds.
    pub fn new(keys: MessageKeys, max_clock_skew_ms: f64, label: &'static [u8]) -> Self {
        Self { keys, max_clock_skew_ms, label, last_sent: 0, last_received: HashMap::new() }
    }

    /// Replaces the keys. Sequence numbers are kept.
    pub fn set_keys(&mut self, keys: MessageKeys) {
        self.keys = keys;
    }

    /// Appends the trailer to a message. `now` is in Unix milliseconds.
    pub fn sign(&mut self, now: f64, mut message: Vec<u8>) -> Vec<u8> {
        let sequence = ((now * 1_000.0) as u64).max(self.last_sent + 1);
        self.last_sent = sequence;
        let sequence = sequence.to_be_bytes();
        let signature = self.keys.sign(self.label, &[&message, &sequence]);
        message.extend(sequence);
        message.extend(signature);
        message
    }

    /// Verifies a datagram from the peer at `from` and returns the message without its trailer. `now` is in
    /// Unix milliseconds.
    pub fn verify<'d>(
        &mut self,
        now: f64,
        from: SocketAddr,
        datagram: &'d [u8],
    ) -> Result<&'d [u8], AuthError> {
        let message_bytes = datagram.len().checked_sub(TRAILER_BYTES).filter(|length| *length > 0);
        let (message, trailer) = datagram.split_at(message_bytes.ok_or(AuthError::MissingSignature)?);
        let (sequence, signature) =
            trailer.split_first_chunk::<SEQUENCE_BYTES>().expect("a complete trailer");
        if !self.keys.verify(self.label, &[message, sequence], signature) {
            return Err(AuthError::WrongSignature);
        }
        let sequence = u64::from_be_bytes(*sequence);
        // After a restart no sequence numbers are known; the clock check rejects replays of old datagrams.
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
