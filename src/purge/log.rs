//! The purge log on disk: an append-only file of records, each with its length and a CRC-32 of its bytes, so
//! that a torn or corrupt tail is found when the file is opened again.
//!
//! ```text
//! file   = magic:8 ("CBPURGE1") record*
//! record = length:4 crc32:4 kind:1 payload      length counts kind and payload; little-endian
//! ```
//!
//! The payload is JSON. Opening reads the records up to the first invalid one, truncates the file there, and
//! logs and returns the fault. The leader flushes a purge to disk before sending it, so a leader's torn tail
//! contains no purge that was sent. Other records may be written without waiting for the disk: they survive
//! SIGKILL. An acknowledgement lost in a power failure only causes a repeat, which the target skips by its
//! sequence number; a follower flushes its purges to disk before it acknowledges them.
//!
//! Compaction writes a new file next to the old one and renames it over the old one. The rename is atomic, so
//! a crash leaves one of the two files complete.

use super::active_purges::{Purge, PurgeStamp};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fs::{File, OpenOptions};
use std::io::{Read, Write};
use std::path::{Path, PathBuf};
use thiserror::Error;

/// The first bytes of a purge log.
pub const MAGIC: &[u8; 8] = b"CBPURGE1";
/// Maximum length of a record, in bytes.
pub const MAX_RECORD_BYTES: usize = 1 << 20;
/// Maximum size of a log file, in bytes.
pub const MAX_FILE_BYTES: u64 = 1 << 30;
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

/// Why a log can't be opened or written.
#[derive(Debug, Error)]
pub enum LogError {
    /// An I/O operation on the log or its directory failed.
    #[error("purge log {path}: {operation}: {source}")]
    Io {
        /// The path of the file or directory.
        path: PathBuf,
        /// The operation.
        operation: &'static str,
        /// The operating system's error.
        source: std::io::Error,
    },
    /// The file is not a purge log; it is left unchanged.
    #[error("purge log {0}: not a purge log (its first bytes are not CBPURGE1)")]
    NotPurgeLog(PathBuf),
    /// The file is larger than [`MAX_FILE_BYTES`].
    #[error("purge log {0}: larger than {MAX_FILE_BYTES} bytes")]
    TooLarge(PathBuf),
    /// A record can't be encoded as JSON.
    #[error("purge log: a record can't be encoded: {0}")]
    Encode(#[from] simd_json::Error),
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

/// The part of a log that was removed when it was opened.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct TruncatedTail {
    /// Offset in the file at which it was truncated, in bytes.
    pub offset: u64,
    /// Bytes removed.
    #[serde(rename = "cut")]
    pub removed: u64,
    /// Why the first removed record is invalid.
    #[serde(rename = "why")]
    pub fault: RecordFault,
}

impl TruncatedTail {
    /// Whether the tail was one incomplete write, which was never sent. Anything else is corruption, and the
    /// tail may have contained purges that were sent.
    pub fn is_torn_write(&self) -> bool {
        matches!(self.fault, RecordFault::TornHeader | RecordFault::TornBody)
            && self.removed <= MAX_PURGE_RECORD_BYTES
    }
}

/// A log that was opened, and its contents.
#[derive(Debug)]
pub struct OpenedLog {
    /// The log, to append to.
    pub log: PurgeLog,
    /// The valid records.
    pub records: Vec<Record>,
    /// The tail that was removed, if any.
    pub truncated: Option<TruncatedTail>,
}

/// A log open for appending.
#[derive(Debug)]
pub struct PurgeLog {
    path: PathBuf,
    file: File,
    size_bytes: u64,
}

/// Adds the file and the operation to an I/O error.
fn io_error<'a>(path: &'a Path, operation: &'static str) -> impl FnOnce(std::io::Error) -> LogError + 'a {
    move |source| LogError::Io { path: path.to_path_buf(), operation, source }
}

/// Encodes a record with its length and checksum.
pub fn encode(record: &Record) -> Result<Vec<u8>, LogError> {
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

impl PurgeLog {
    /// Opens a log, or creates an empty one. Reads its records, and truncates it at the first invalid one.
    pub fn open(path: &Path) -> Result<OpenedLog, LogError> {
        let mut file = OpenOptions::new()
            .read(true)
            .append(true)
            .create(true)
            .open(path)
            .map_err(io_error(path, "open"))?;
        let size = file.metadata().map_err(io_error(path, "stat"))?.len();
        if size > MAX_FILE_BYTES {
            return Err(LogError::TooLarge(path.to_path_buf()));
        }
        let mut bytes = Vec::with_capacity(size as usize);
        file.read_to_end(&mut bytes).map_err(io_error(path, "read"))?;
        if bytes.is_empty() {
            let log = Self::create(path, file)?;
            return Ok(OpenedLog { log, records: Vec::new(), truncated: None });
        }
        let Some(encoded) = bytes.strip_prefix(MAGIC.as_slice()) else {
            return Err(LogError::NotPurgeLog(path.to_path_buf()));
        };
        let DecodedLog { records, fault } = decode(encoded);
        let mut log = Self { path: path.to_path_buf(), file, size_bytes: size };
        let truncated = fault.map(|invalid| log.truncate_at(invalid, records.len())).transpose()?;
        Ok(OpenedLog { log, records, truncated })
    }

    /// Writes the magic to an empty file.
    fn create(path: &Path, mut file: File) -> Result<Self, LogError> {
        file.write_all(MAGIC).map_err(io_error(path, "write"))?;
        file.sync_all().map_err(io_error(path, "fsync"))?;
        sync_directory(path)?;
        Ok(Self { path: path.to_path_buf(), file, size_bytes: MAGIC.len() as u64 })
    }

    fn truncate_at(
        &mut self,
        invalid: InvalidRecord,
        intact_records: usize,
    ) -> Result<TruncatedTail, LogError> {
        let offset = (MAGIC.len() + invalid.offset) as u64;
        let tail = TruncatedTail { offset, removed: self.size_bytes - offset, fault: invalid.fault };
        tracing::error!(
            log = %self.path.display(), offset, removed = tail.removed, fault = %tail.fault, intact_records,
            "purge log: truncated at the first invalid record"
        );
        self.file.set_len(offset).map_err(io_error(&self.path, "truncate"))?;
        self.file.sync_all().map_err(io_error(&self.path, "fsync"))?;
        self.size_bytes = offset;
        Ok(tail)
    }

    /// Appends a record; with `durable`, returns once it is on disk.
    pub fn append(&mut self, record: &Record, durable: bool) -> Result<(), LogError> {
        let framed = encode(record)?;
        self.file.write_all(&framed).map_err(io_error(&self.path, "write"))?;
        if durable {
            self.file.sync_data().map_err(io_error(&self.path, "fsync"))?;
        }
        self.size_bytes += framed.len() as u64;
        Ok(())
    }

    /// Flushes the records appended without `durable` to disk.
    pub fn sync(&mut self) -> Result<(), LogError> {
        self.file.sync_data().map_err(io_error(&self.path, "fsync"))
    }

    /// Replaces the log with these records, atomically.
    pub fn rewrite(&mut self, records: &[Record]) -> Result<(), LogError> {
        let mut replacement = self.path.clone().into_os_string();
        replacement.push(".new");
        let replacement = PathBuf::from(replacement);
        let mut bytes = MAGIC.to_vec();
        for record in records {
            bytes.extend(encode(record)?);
        }
        let mut file = File::create(&replacement).map_err(io_error(&replacement, "create"))?;
        file.write_all(&bytes).map_err(io_error(&replacement, "write"))?;
        file.sync_all().map_err(io_error(&replacement, "fsync"))?;
        std::fs::rename(&replacement, &self.path).map_err(io_error(&self.path, "rename"))?;
        sync_directory(&self.path)?;
        self.file = OpenOptions::new()
            .read(true)
            .append(true)
            .open(&self.path)
            .map_err(io_error(&self.path, "open"))?;
        self.size_bytes = bytes.len() as u64;
        Ok(())
    }

    /// The file's size, in bytes.
    pub fn size_bytes(&self) -> u64 {
        self.size_bytes
    }

    /// The path of the file.
    pub fn path(&self) -> &Path {
        &self.path
    }
}

/// Flushes the directory of a file to disk, so that a created or renamed file survives a power failure.
fn sync_directory(path: &Path) -> Result<(), LogError> {
    let directory = path.parent().filter(|p| !p.as_os_str().is_empty()).unwrap_or(Path::new("."));
    File::open(directory).and_then(|f| f.sync_all()).map_err(io_error(directory, "fsync directory"))
}

#[cfg(test)]
mod tests;
