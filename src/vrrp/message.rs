//! The VRRP version 3 advertisement for IPv4 (RFC 9568, section 5), carried in a UDP datagram. The checksum
//! covers the message alone, without a pseudo-header. No I/O.

use std::net::Ipv4Addr;
use thiserror::Error;

/// Priority of the owner of the virtual addresses.
pub const OWNER_PRIORITY: u8 = 255;
/// Priority that an active router advertises when it stops serving the virtual addresses.
pub const STOP_PRIORITY: u8 = 0;
/// Domain separation label of signatures: a signature made for another protocol with the same key is not
/// valid for an advertisement.
pub const SIGNATURE_LABEL: &[u8] = b"calicobeam vrrp 1";
/// Milliseconds in a centisecond.
pub const CENTISECOND_MS: f64 = 10.0;
/// Length of the fixed part of a message, before the addresses, in bytes.
const HEADER_BYTES: usize = 8;
/// Length of an IPv4 address, in bytes.
const ADDRESS_BYTES: usize = 4;
/// First byte of an advertisement: version 3, type 1.
const VERSION_AND_TYPE: u8 = 0x31;
/// Byte range of the checksum in a message.
const CHECKSUM_RANGE: std::ops::Range<usize> = 6..8;

/// A message that is not a valid advertisement.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum DecodeError {
    /// The length does not match the number of addresses, or there is no address.
    #[error("the message has no addresses, or its length does not match their number")]
    Length,
    /// The version is not 3, or the type is not an advertisement.
    #[error("unsupported version or message type: the first byte is not 0x31")]
    Version,
    /// The checksum is wrong.
    #[error("invalid checksum")]
    Checksum,
    /// The advertisement interval is 0.
    #[error("the advertisement interval is 0")]
    Interval,
}

/// An advertisement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Advertisement {
    /// Virtual router identifier (VRID).
    pub vrid: u8,
    /// Priority of the sender, or [`STOP_PRIORITY`] if it stops serving the virtual addresses.
    pub priority: u8,
    /// Advertisement interval of the sender, in centiseconds: 1 to 4095.
    pub interval_cs: u16,
    /// The virtual addresses.
    pub addresses: Vec<Ipv4Addr>,
}

/// The Internet checksum (RFC 1071): complement of the ones' complement sum.
fn checksum(bytes: &[u8]) -> u16 {
    let word = |pair: &[u8]| u32::from(pair[0]) << 8 | u32::from(*pair.get(1).unwrap_or(&0));
    let mut sum: u32 = bytes.chunks(2).map(word).sum();
    while sum > 0xffff {
        sum = (sum & 0xffff) + (sum >> 16);
    }
    !(sum as u16)
}

impl Advertisement {
    /// Advertisement interval of the sender, in milliseconds.
    pub fn interval_ms(&self) -> f64 {
        f64::from(self.interval_cs) * CENTISECOND_MS
    }

    /// Encodes the message, including its checksum.
    pub fn encode(&self) -> Vec<u8> {
        let [interval_high, interval_low] = (self.interval_cs & 0x0fff).to_be_bytes();
        let count = self.addresses.len() as u8;
        let mut out =
            vec![VERSION_AND_TYPE, self.vrid, self.priority, count, interval_high, interval_low, 0, 0];
        self.addresses.iter().for_each(|address| out.extend(address.octets()));
        let sum = checksum(&out).to_be_bytes();
        out[CHECKSUM_RANGE].copy_from_slice(&sum);
        out
    }

    /// Decodes a message. Reserved bits are ignored, as the RFC requires.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        let Some(&[version_and_type, vrid, priority, count, high, low, _, _]) =
            bytes.first_chunk::<HEADER_BYTES>()
        else {
            return Err(DecodeError::Length);
        };
        if version_and_type != VERSION_AND_TYPE {
            return Err(DecodeError::Version);
        }
        let addresses = bytes[HEADER_BYTES..].chunks_exact(ADDRESS_BYTES);
        if count == 0 || bytes.len() != HEADER_BYTES + ADDRESS_BYTES * usize::from(count) {
            return Err(DecodeError::Length);
        }
        if checksum(bytes) != 0 {
            return Err(DecodeError::Checksum);
        }
        let interval_cs = u16::from_be_bytes([high & 0x0f, low]);
        if interval_cs == 0 {
            return Err(DecodeError::Interval);
        }
        let addresses = addresses.map(|a| Ipv4Addr::new(a[0], a[1], a[2], a[3])).collect();
        Ok(Self { vrid, priority, interval_cs, addresses })
    }
}
