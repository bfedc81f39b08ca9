//! Sealed advertisements. RFC 9568 has no authentication of its own and leaves it to the network; over UDP between
//! hosts that others share, each datagram carries a trailer: a number that only grows (Unix microseconds at the
//! sender, 8 bytes) and an HMAC-SHA256 (RFC 2104) over a label, the message and the number. No I/O.

use crate::mac::{Keys, TAG};
use std::collections::HashMap;
use std::net::SocketAddr;
use thiserror::Error;

/// Bytes of the trailer.
pub const TRAILER: usize = 8 + TAG;
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
    keys: Keys,
    /// How far a sender's clock may be from this one, in milliseconds.
    skew_ms: f64,
    label: &'static [u8],
    last_sent: u64,
    /// The last number of each peer.
    heard: HashMap<SocketAddr, u64>,
}

impl Seals {
    /// Seals of advertisements by these keys.
    pub fn new(keys: Keys, skew_ms: f64) -> Self {
        Self::labelled(keys, skew_ms, LABEL)
    }

    /// Seals of another protocol's datagrams: `label` says which, so that none passes for another's.
    pub fn labelled(keys: Keys, skew_ms: f64, label: &'static [u8]) -> Self {
        Self { keys, skew_ms, label, last_sent: 0, heard: HashMap::new() }
    }

    /// Takes other keys.
    pub fn rekey(&mut self, keys: Keys) {
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
mod tests {
    use super::*;
    use base64::engine::general_purpose::STANDARD;
    use base64::Engine as _;

    fn keys(seeds: &[u8]) -> Keys {
        let lines: Vec<String> = seeds.iter().map(|s| STANDARD.encode([*s; 32])).collect();
        Keys::parse(&format!("# first signs\n{}\n", lines.join("\n"))).unwrap()
    }

    #[test]
    fn a_seal_holds_once_for_its_message_and_key() {
        let from: SocketAddr = "127.0.0.2:5112".parse().unwrap();
        let now = 1_764_576_000_000.0;
        let (mut mine, mut theirs) = (Seals::new(keys(&[1]), 5_000.0), Seals::new(keys(&[1]), 5_000.0));
        let sealed = mine.seal(now, vec![0x31, 7, 100]);
        assert_eq!(theirs.open(now, from, &sealed), Ok(&[0x31, 7, 100][..]));
        assert_eq!(theirs.open(now, from, &sealed), Err(BadSeal::Replayed));
        let (one, two) = (mine.seal(now, vec![1]), mine.seal(now, vec![2]));
        assert!(theirs.open(now, from, &two).is_ok(), "numbers grow within one microsecond too");
        assert_eq!(theirs.open(now, from, &one), Err(BadSeal::Replayed), "overtaken");
        for place in 0..sealed.len() {
            let mut bad = mine.seal(now, vec![0x31, 7, 100]);
            bad[place] ^= 1;
            assert_eq!(theirs.open(now, from, &bad), Err(BadSeal::Wrong), "byte {place}");
        }
        assert_eq!(theirs.open(now, from, &sealed[..TRAILER]), Err(BadSeal::Missing));
        assert_eq!(
            theirs.open(now, from, &[0x31, 7, 100, 1, 0, 100, 0, 0, 127, 1, 0, 1]),
            Err(BadSeal::Missing)
        );
        let late = mine.seal(now, vec![1]);
        let mut fresh = Seals::new(keys(&[1]), 5_000.0);
        assert_eq!(fresh.open(now + 6_000.0, from, &late), Err(BadSeal::Skewed), "kept by somebody");
    }

    #[test]
    fn keys_rotate_without_a_gap() {
        let from: SocketAddr = "127.0.0.2:5112".parse().unwrap();
        let (mut old, mut new) = (Seals::new(keys(&[1]), 5_000.0), Seals::new(keys(&[1, 2]), 5_000.0));
        assert!(new.open(9e6, from, &old.seal(9e6, vec![1])).is_ok());
        old.rekey(keys(&[2, 1]));
        assert!(new.open(9e6, from, &old.seal(9e6, vec![1])).is_ok());
        new.rekey(keys(&[2]));
        assert!(new.open(9e6, from, &old.seal(9e6, vec![1])).is_ok());
        old.rekey(keys(&[1]));
        assert_eq!(new.open(9e6, from, &old.seal(9e6, vec![1])), Err(BadSeal::Wrong));
    }
}
