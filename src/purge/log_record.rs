//! The format of the purge log: records, each with its length and a CRC-32 of its bytes, so that a torn or
//! corrupt tail is found when the file is read again.
//!
//! ```text
//! file   = magic:8 ("CBPURGE1") record*
//! record = length:4 crc32:4 kind:1 payload      length counts kind and payload; little-endian
//! ```
//!
//! The payload is JSON.

use super::active_purges::{Purge, PurgeStamp};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use thiserror::Error;

/// The first bytes of a purge log.
pub const MAGIC: &[u8; 8] = b"CBPURGE1";
/// Maximum length of a record, in bytes.
pub const MAX_RECORD_BYTES: usize = 1 << 20;
/// Minimum length of a purge record, in bytes: bounds the number of purges in a truncated tail.
pub const MIN_PURGE_RECORD_BYTES: u64 = 40;
/// Maximum length of a purge record, in bytes: a torn tail of at most this length is one incomplete write.
pub const MAX_PURGE_RECORD_BYTES: u64 = 1_024;
/// Size of a record's length and checksum, in bytes.
const RECORD_HEADER_BYTES: usize = 8;
/// The kind of a record with a JSON payload, the only kind.
const KIND_JSON: u8 = 1;

/// One record of a log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// A purge, as issued or as received.
    Purge(Purge),
    /// A target acknowledged all purges up to `seq` (leader only).
    #[serde(rename = "Acked")]
    Acknowledged {
        /// The name of the target.
        target: String,
        /// The sequence number.
        seq: u64,
    },
    /// The whole fleet has applied all purges up to `through`.
    #[serde(rename = "Done")]
    LowWaterMark {
        /// The sequence number.
        through: u64,
    },
    /// A cutoff replaced the purges up to its sequence number.
    #[serde(rename = "Floor")]
    Cutoff(PurgeStamp),
    /// The state at the start of a compacted file.
    Snapshot(Snapshot),
}

/// The state at the start of a compacted file; the retained and active purges follow it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The highest sequence number issued or applied.
    #[serde(rename = "last")]
    pub last_seq: u64,
    /// The highest sequence number that the whole fleet has applied.
    #[serde(rename = "done")]
    pub low_water_mark: u64,
    /// The lowest sequence number that is retained.
    #[serde(rename = "first")]
    pub first_retained: u64,
    /// The newest purge that is no longer retained: sent as the cutoff to targets that lack it.
    #[serde(default, rename = "let_go")]
    pub last_dropped: Option<PurgeStamp>,
    /// The cutoff of the active purges.
    #[serde(default, rename = "floor")]
    pub cutoff: Option<PurgeStamp>,
    /// The acknowledgements by target (leader only).
    #[serde(rename = "acked")]
    pub acknowledged: BTreeMap<String, u64>,
}

/// Why a record is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RecordFault {
    /// The file ends within the record's length or checksum.
    #[error("a torn record head")]
    TornHeader,
    /// The file ends within the record's body.
    #[error("a torn record")]
    TornBody,
    /// The length is 0 or beyond [`MAX_RECORD_BYTES`].
    #[error("a record's length out of bounds")]
    LengthOutOfBounds,
    /// The checksum does not match.
    #[error("a record's checksum does not hold")]
    ChecksumMismatch,
    /// The kind is unknown.
    #[error("a record of an unknown kind")]
    UnknownKind,
    /// The payload is not the JSON of a [`Record`].
    #[error("a record that is not a purge log's JSON")]
    MalformedPayload,
}

impl Serialize for RecordFault {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

/// The first invalid record of a log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidRecord {
    /// Offset of the record from the end of the magic, in bytes.
    pub offset: usize,
    /// Why it is invalid.
    pub fault: RecordFault,
}

/// The records of a log up to the first invalid one.
#[derive(Clone, Debug, PartialEq)]
pub struct DecodedLog {
    /// The valid records.
    pub records: Vec<Record>,
    /// The first invalid record, if any.
    pub fault: Option<InvalidRecord>,
}

/// Encodes a record with its length and checksum.
pub fn encode(record: &Record) -> Result<Vec<u8>, simd_json::Error> {
    let payload = simd_json::to_vec(record)?;
    let mut body = Vec::with_capacity(payload.len() + 1);
    body.push(KIND_JSON);
    body.extend_from_slice(&payload);
    let mut framed = Vec::with_capacity(body.len() + RECORD_HEADER_BYTES);
    framed.extend_from_slice(&(body.len() as u32).to_le_bytes());
    framed.extend_from_slice(&crc32fast::hash(&body).to_le_bytes());
    framed.extend_from_slice(&body);
    Ok(framed)
}

/// Decodes the records that follow the magic, up to the first invalid one.
pub fn decode(bytes: &[u8]) -> DecodedLog {
    let mut records = Vec::new();
    let mut offset = 0;
    while offset < bytes.len() {
        match decode_record(&bytes[offset..]) {
            Ok((record, length)) => {
                records.push(record);
                offset += length;
            }
            Err(fault) => return DecodedLog { records, fault: Some(InvalidRecord { offset, fault }) },
        }
    }
    DecodedLog { records, fault: None }
}

/// Decodes the first record; returns it with its length in bytes.
fn decode_record(bytes: &[u8]) -> Result<(Record, usize), RecordFault> {
    let Some((header, rest)) = bytes.split_at_checked(RECORD_HEADER_BYTES) else {
        return Err(RecordFault::TornHeader);
    };
    let length = u32::from_le_bytes(header[..4].try_into().expect("four bytes")) as usize;
    let checksum = u32::from_le_bytes(header[4..].try_into().expect("four bytes"));
    if length == 0 || length > MAX_RECORD_BYTES {
        return Err(RecordFault::LengthOutOfBounds);
    }
    let body = rest.get(..length).ok_or(RecordFault::TornBody)?;
    if crc32fast::hash(body) != checksum {
        return Err(RecordFault::ChecksumMismatch);
    }
    if body[0] != KIND_JSON {
        return Err(RecordFault::UnknownKind);
    }
    let mut payload = body[1..].to_vec();
    let record = simd_json::from_slice(&mut payload).map_err(|_| RecordFault::MalformedPayload)?;
    Ok((record, RECORD_HEADER_BYTES + length))
}

#[cfg(test)]
mod tests;
