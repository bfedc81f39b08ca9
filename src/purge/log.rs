//! The purge log on disk: an append-only file of records, each with its length and a CRC-32 of its bytes, so
//! that a tail that a crash tore or a disk spoilt is found when the file is opened again.
//!
//! ```text
//! file   = magic:8 ("CBPURGE1") record*
//! record = length:4 crc32:4 kind:1 payload      length counts kind and payload; little-endian
//! ```
//!
//! The payload is JSON. Opening reads every record whose length and checksum hold; at the first that does not,
//! the file is cut back to the end of the one before, the fault is returned and logged, and what follows is
//! never applied. A purge is written with `fsync` before anybody hears of it, so a torn tail holds only what was
//! never told. Other records may go without: after SIGKILL the system still writes them, and one lost to a
//! power cut only makes a target hear a purge again, which it skips by its number.
//!
//! When the file grows past its bound it is written anew, in a file beside it that then takes its name: the
//! rename is atomic, so a crash leaves the old file or the new one, whole.

use super::active_purges::{Mark, Purge};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fs::{File, OpenOptions};
use std::io::{Read, Write};
use std::path::{Path, PathBuf};
use thiserror::Error;

/// The first bytes of a purge log.
pub const MAGIC: &[u8; 8] = b"CBPURGE1";
/// The longest record, in bytes: far above any purge.
pub const MAX_RECORD: usize = 1 << 20;
/// The largest file that is read, in bytes.
pub const MAX_FILE: u64 = 1 << 30;
/// The fewest bytes of a purge's record: what a lost tail held can't have had more purges than its bytes over this.
pub const MIN_PURGE_RECORD: u64 = 40;
/// The most bytes of a purge's record: a torn tail shorter than this is one write that never ended.
pub const MAX_PURGE_RECORD: u64 = 1_024;

/// What a log holds, record by record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// A purge, as issued or as received.
    Purge(Purge),
    /// A target acknowledged all up to `seq` (the leader's).
    Acked {
        /// The target.
        target: String,
        /// Its acknowledgement.
        seq: u64,
    },
    /// The fleet applied all up to `through`.
    Done {
        /// The mark.
        through: u64,
    },
    /// A floor took the place of the purges up to its number.
    Floor(Mark),
    /// The state as a whole, at the start of a file that was written anew.
    Snapshot(Snapshot),
}

/// The state that a log written anew begins with; the purges still held follow it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The highest number given out or applied.
    pub last: u64,
    /// The fleet's `done` mark.
    pub done: u64,
    /// The lowest number still held.
    pub first: u64,
    /// The newest of the purges that the leader no longer holds: a floor for whoever lacks them.
    #[serde(default)]
    pub let_go: Option<Mark>,
    /// The ledger's floor, which binds.
    #[serde(default)]
    pub floor: Option<Mark>,
    /// The targets' acknowledgements (the leader's).
    pub acked: BTreeMap<String, u64>,
}

/// Why a log can't be used.
#[derive(Debug, Error)]
pub enum LogError {
    /// The file system refused.
    #[error("purge log {path}: {op}: {source}")]
    Io {
        /// The file.
        path: PathBuf,
        /// What was done.
        op: &'static str,
        /// Why it failed.
        source: std::io::Error,
    },
    /// The file is something else: it is left alone.
    #[error("purge log {0}: not a purge log (its first bytes are not CBPURGE1)")]
    Foreign(PathBuf),
    /// The file is larger than is read.
    #[error("purge log {0}: larger than 1 GiB")]
    TooLarge(PathBuf),
    /// A record could not be written as JSON.
    #[error("purge log: a record can't be written: {0}")]
    Encode(String),
}

/// The first record that could not be read, and why: what came from it on was cut off.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct TailFault {
    /// Its offset in the file, where the file now ends.
    pub offset: u64,
    /// Bytes cut off.
    pub cut: u64,
    /// What was wrong.
    #[serde(rename = "why")]
    pub reason: &'static str,
}

impl TailFault {
    /// Whether it is one write that never ended, which nobody heard of: a purge is written down before it is
    /// told. Anything else may have held what was told, and is corruption.
    pub fn is_torn_write(&self) -> bool {
        matches!(self.reason, "a torn record head" | "a torn record") && self.cut <= MAX_PURGE_RECORD
    }
}

/// An open log, to append to.
#[derive(Debug)]
pub struct PurgeLog {
    path: PathBuf,
    file: File,
    bytes: u64,
}

fn io<'a>(path: &'a Path, op: &'static str) -> impl FnOnce(std::io::Error) -> LogError + 'a {
    move |source| LogError::Io { path: path.to_path_buf(), op, source }
}

/// The bytes of a record, framed.
pub fn encode(record: &Record) -> Result<Vec<u8>, LogError> {
    let payload = simd_json::to_vec(record).map_err(|e| LogError::Encode(e.to_string()))?;
    let mut body = Vec::with_capacity(payload.len() + 1);
    body.push(1u8);
    body.extend_from_slice(&payload);
    let mut framed = Vec::with_capacity(body.len() + 8);
    framed.extend_from_slice(&(body.len() as u32).to_le_bytes());
    framed.extend_from_slice(&crc32fast::hash(&body).to_le_bytes());
    framed.extend_from_slice(&body);
    Ok(framed)
}

/// Reads the records of a file's bytes after the magic; stops at the first that fails, and says where.
pub fn decode(bytes: &[u8]) -> (Vec<Record>, Option<(usize, &'static str)>) {
    let mut records = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let fault = |reason| Some((at, reason));
        let Some(head) = bytes.get(at..at + 8) else { return (records, fault("a torn record head")) };
        let length = u32::from_le_bytes(head[..4].try_into().expect("four bytes")) as usize;
        let crc = u32::from_le_bytes(head[4..].try_into().expect("four bytes"));
        if length == 0 || length > MAX_RECORD {
            return (records, fault("a record's length out of bounds"));
        }
        let Some(body) = bytes.get(at + 8..at + 8 + length) else {
            return (records, fault("a torn record"));
        };
        if crc32fast::hash(body) != crc {
            return (records, fault("a record's checksum does not hold"));
        }
        if body[0] != 1 {
            return (records, fault("a record of an unknown kind"));
        }
        let mut payload = body[1..].to_vec();
        match simd_json::from_slice::<Record>(&mut payload) {
            Ok(record) => records.push(record),
            Err(_) => return (records, fault("a record that is not a purge log's JSON")),
        }
        at += 8 + length;
    }
    (records, None)
}

impl PurgeLog {
    /// Opens a log, or makes an empty one. Returns what it holds, and the fault at its tail, if any, which is
    /// cut off and logged.
    pub fn open(path: &Path) -> Result<(Self, Vec<Record>, Option<TailFault>), LogError> {
        let mut file =
            OpenOptions::new().read(true).append(true).create(true).open(path).map_err(io(path, "open"))?;
        let size = file.metadata().map_err(io(path, "stat"))?.len();
        if size > MAX_FILE {
            return Err(LogError::TooLarge(path.to_path_buf()));
        }
        let mut bytes = Vec::with_capacity(size as usize);
        file.read_to_end(&mut bytes).map_err(io(path, "read"))?;
        if bytes.is_empty() {
            file.write_all(MAGIC).map_err(io(path, "write"))?;
            file.sync_all().map_err(io(path, "fsync"))?;
            sync_folder(path)?;
            let log = Self { path: path.to_path_buf(), file, bytes: MAGIC.len() as u64 };
            return Ok((log, Vec::new(), None));
        }
        if !bytes.starts_with(MAGIC) {
            return Err(LogError::Foreign(path.to_path_buf()));
        }
        let (records, fault) = decode(&bytes[MAGIC.len()..]);
        let fault = fault.map(|(at, reason)| {
            let offset = (MAGIC.len() + at) as u64;
            TailFault { offset, cut: size - offset, reason }
        });
        let mut log = Self { path: path.to_path_buf(), file, bytes: size };
        if let Some(fault) = &fault {
            tracing::error!(
                log = %path.display(), offset = fault.offset, cut = fault.cut, reason = fault.reason,
                kept = records.len(), "purge log: cut back to its last whole record"
            );
            log.file.set_len(fault.offset).map_err(io(path, "truncate"))?;
            log.file.sync_all().map_err(io(path, "fsync"))?;
            log.bytes = fault.offset;
        }
        Ok((log, records, fault))
    }

    /// Appends a record; `durable` waits until it is on the disk.
    pub fn append(&mut self, record: &Record, durable: bool) -> Result<(), LogError> {
        let framed = encode(record)?;
        self.file.write_all(&framed).map_err(io(&self.path, "write"))?;
        if durable {
            self.file.sync_data().map_err(io(&self.path, "fsync"))?;
        }
        self.bytes += framed.len() as u64;
        Ok(())
    }

    /// Writes everything down that was appended without waiting.
    pub fn sync(&mut self) -> Result<(), LogError> {
        self.file.sync_data().map_err(io(&self.path, "fsync"))
    }

    /// Writes the log anew with these records alone: beside it first, then in its place.
    pub fn rewrite(&mut self, records: &[Record]) -> Result<(), LogError> {
        let mut fresh = self.path.clone().into_os_string();
        fresh.push(".new");
        let fresh = PathBuf::from(fresh);
        let mut bytes = MAGIC.to_vec();
        for record in records {
            bytes.extend(encode(record)?);
        }
        let mut file = File::create(&fresh).map_err(io(&fresh, "create"))?;
        file.write_all(&bytes).map_err(io(&fresh, "write"))?;
        file.sync_all().map_err(io(&fresh, "fsync"))?;
        std::fs::rename(&fresh, &self.path).map_err(io(&self.path, "rename"))?;
        sync_folder(&self.path)?;
        self.file =
            OpenOptions::new().read(true).append(true).open(&self.path).map_err(io(&self.path, "open"))?;
        self.bytes = bytes.len() as u64;
        Ok(())
    }

    /// The file's size, in bytes.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// The file.
    pub fn path(&self) -> &Path {
        &self.path
    }
}

/// Makes a new name in a folder lasting.
fn sync_folder(path: &Path) -> Result<(), LogError> {
    let folder = path.parent().filter(|p| !p.as_os_str().is_empty()).unwrap_or(Path::new("."));
    File::open(folder).and_then(|f| f.sync_all()).map_err(io(folder, "fsync the folder"))
}

#[cfg(test)]
mod tests;
