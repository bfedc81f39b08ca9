//! Sealed advertisements. RFC 9568 has no authentication of its own and leaves it to the network; over UDP between
//! hosts that others share, each datagram carries a trailer: a number that only grows (Unix microseconds at the
//! sender, 8 bytes) and an HMAC-SHA256 (RFC 2104) over a label, the message and the number. No I/O.

use crate::message_auth::{MessageKeys, SIGNATURE_BYTES};
use std::collections::HashMap;
use std::net::SocketAddr;
use thiserror::Error;

/// Bytes of the trailer.
pub const TRAILER: usize = 8 + SIGNATURE_BYTES;
/// What the seal is for: no seal of another protocol under the same key passes for it.
const LABEL: &[u8] = b"calicobeam vrrp 1";

/// Why a datagram's seal is none.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum BadSeal {
    /// It has no trailer.
    #[error("no seal")]
    Missing,
    /// No key fits it.
    #[error("a seal that no key fits")]
    Wrong,
    /// Its number came before.
    #[error("a number that came before")]
    Replayed,
    /// Its number is too far from this proxy's clock.
    #[error("a number too far from the clock")]
    Skewed,
}

/// Seals what is sent and opens what comes.
#[derive(Debug)]
pub struct Seals {
    keys: MessageKeys,
    /// How far a sender's clock may be from this one, in milliseconds.
    skew_ms: f64,
    label: &'static [u8],
    last_sent: u64,
    /// The last number of each peer.
    heard: HashMap<SocketAddr, u64>,
}

impl Seals {
    /// Seals of advertisements by these keys.
    pub fn new(keys: MessageKeys, skew_ms: f64) -> Self {
        Self::labelled(keys, skew_ms, LABEL)
    }

    /// Seals of another protocol's datagrams: `label` says which, so that none passes for another's.
    pub fn labelled(keys: MessageKeys, skew_ms: f64, label: &'static [u8]) -> Self {
        Self { keys, skew_ms, label, last_sent: 0, heard: HashMap::new() }
    }

    /// Takes other keys.
    pub fn rekey(&mut self, keys: MessageKeys) {
        self.keys = keys;
    }

    /// The message with its trailer.
    pub fn seal(&mut self, now_ms: f64, mut message: Vec<u8>) -> Vec<u8> {
        let number = ((now_ms * 1_000.0) as u64).max(self.last_sent + 1);
        self.last_sent = number;
        let number = number.to_be_bytes();
        let tag = self.keys.sign(self.label, &[&message, &number]);
        message.extend(number);
        message.extend(tag);
        message
    }

    /// The message of a datagram that came from `from`, if its seal holds and is new.
    pub fn open<'d>(
        &mut self,
        now_ms: f64,
        from: SocketAddr,
        datagram: &'d [u8],
    ) -> Result<&'d [u8], BadSeal> {
        let at = datagram.len().checked_sub(TRAILER).filter(|n| *n > 0).ok_or(BadSeal::Missing)?;
        let (message, trailer) = datagram.split_at(at);
        let (number, tag) = trailer.split_at(8);
        let number: [u8; 8] = number.try_into().expect("8 bytes");
        if !self.keys.verify(self.label, &[message, &number], tag) {
            return Err(BadSeal::Wrong);
        }
        let number = u64::from_be_bytes(number);
        // Guards a proxy that has just started, and knows no number yet, against old datagrams.
        if (number as f64 / 1_000.0 - now_ms).abs() > self.skew_ms {
            return Err(BadSeal::Skewed);
        }
        let last = self.heard.entry(from).or_default();
        if number <= *last {
            return Err(BadSeal::Replayed);
        }
        *last = number;
        Ok(message)
    }
}

#[cfg(test)]
mod tests;
