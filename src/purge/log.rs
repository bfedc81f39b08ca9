//! The purge log on disk: an append-only file of records (see [`super::log_record`]).
//!
//! Opening reads the records up to the first invalid one, truncates the file there, and
//! logs and returns the fault. The leader flushes a purge to disk before sending it, so a leader's torn tail
//! contains no purge that was sent. Other records may be written without waiting for the disk: they survive
//! SIGKILL. An acknowledgement lost in a power failure only causes a repeat, which the target skips by its
//! sequence number; a follower flushes its purges to disk before it acknowledges them.
//!
//! Compaction writes a new file next to the old one and renames it over the old one. The rename is atomic, so
//! a crash leaves one of the two files complete.

use super::log_record::{
    decode, encode, DecodedLog, InvalidRecord, Record, RecordFault, MAGIC, MAX_PURGE_RECORD_BYTES,
};
use serde::Serialize;
use std::fs::{File, OpenOptions};
use std::io::{Read, Write};
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Maximum size of a log file, in bytes.
pub const MAX_FILE_BYTES: u64 = 1 << 30;

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
