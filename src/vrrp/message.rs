//! The VRRP version 3 message for IPv4 (RFC 9568, section 5), carried in a UDP datagram, with the checksum over the
//! message alone.

use std::net::Ipv4Addr;
use thiserror::Error;

/// The priority of the address's owner.
pub const OWNER: u8 = 255;
/// The priority that says that its sender stops.
pub const STOPS: u8 = 0;
/// Label of the signatures of authenticated advertisements, which separates them from other protocols under the same
/// keys.
pub const LABEL: &[u8] = b"calicobeam vrrp 1";
const HEAD: usize = 8;

/// What is wrong with a message.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum BadMessage {
    /// Its length is not that of its addresses.
    #[error("length")]
    Length,
    /// It is of another version or type.
    #[error("version or type")]
    Version,
    /// Its checksum is wrong.
    #[error("checksum")]
    Checksum,
    /// Its interval is 0.
    #[error("interval")]
    Interval,
}

/// An advertisement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Advertisement {
    /// The virtual router.
    pub vrid: u8,
    /// The sender's priority; [`STOPS`] says that it gives the state up.
    pub priority: u8,
    /// The sender's interval, in centiseconds: 1 to 4095.
    pub interval_cs: u16,
    /// The virtual addresses.
    pub addresses: Vec<Ipv4Addr>,
}

/// The ones' complement sum of RFC 1071.
fn checksum(bytes: &[u8]) -> u16 {
    let word = |pair: &[u8]| u32::from(pair[0]) << 8 | u32::from(*pair.get(1).unwrap_or(&0));
    let mut sum: u32 = bytes.chunks(2).map(word).sum();
    while sum > 0xffff {
        sum = (sum & 0xffff) + (sum >> 16);
    }
    !(sum as u16)
}

impl Advertisement {
    /// The message's bytes.
    pub fn encode(&self) -> Vec<u8> {
        let interval = (self.interval_cs & 0x0fff).to_be_bytes();
        let mut out =
            vec![0x31, self.vrid, self.priority, self.addresses.len() as u8, interval[0], interval[1], 0, 0];
        self.addresses.iter().for_each(|a| out.extend(a.octets()));
        let sum = checksum(&out).to_be_bytes();
        out[6..8].copy_from_slice(&sum);
        out
    }

    /// Reads a message. Reserved bits are skipped, as the RFC asks.
    pub fn decode(bytes: &[u8]) -> Result<Self, BadMessage> {
        let Some(&[kind, vrid, priority, count, high, low, _, _]) = bytes.first_chunk::<HEAD>() else {
            return Err(BadMessage::Length);
        };
        if kind != 0x31 {
            return Err(BadMessage::Version);
        }
        let addresses = bytes[HEAD..].chunks_exact(4);
        if count == 0 || bytes.len() != HEAD + 4 * usize::from(count) {
            return Err(BadMessage::Length);
        }
        if checksum(bytes) != 0 {
            return Err(BadMessage::Checksum);
        }
        let interval_cs = u16::from_be_bytes([high & 0x0f, low]);
        if interval_cs == 0 {
            return Err(BadMessage::Interval);
        }
        let addresses = addresses.map(|a| Ipv4Addr::new(a[0], a[1], a[2], a[3])).collect();
        Ok(Self { vrid, priority, interval_cs, addresses })
    }
}
