//! The purge log on disk: an append-only file of records (see [`super::log_record`]), which all processes of
//! one replica share, for example the two processes of an upgrade. Whoever holds its lock
//! ([`crate::lock_file`]) reads what the others have appended, and only then appends. The lock is on a file of
//! its own, because compaction replaces the log.
//!
//! Opening reads the records up to the first invalid one, truncates the file there, and logs and returns the
//! fault. The leader flushes a purge to disk before sending it, so a leader's torn tail contains no purge that
//! was sent. Other records may be written without waiting for the disk: they survive SIGKILL. An
//! acknowledgement lost in a power failure only causes a repeat, which the target skips by its sequence
//! number; a follower flushes its purges to disk before it acknowledges them.
//!
//! Compaction writes a new file next to the old one and renames it over the old one. The rename is atomic, so
//! a crash leaves one of the two files complete. Another process notices that the path names a new file, and
//! reads that one from its start.

use super::log_record::{decode, encode, DecodedLog, Record, RecordFault, MAGIC, MAX_PURGE_RECORD_BYTES};
use crate::lock_file::{path_with_suffix, FileLock, LockError, LockFile};
use serde::Serialize;
use std::fs::{File, Metadata, OpenOptions};
use std::io::Write;
use std::os::unix::fs::{FileExt, MetadataExt};
use std::path::{Path, PathBuf};
use std::time::Duration;
use thiserror::Error;

/// Maximum size of a log file, in bytes.
pub const MAX_FILE_BYTES: u64 = 1 << 30;
/// Suffix of the file that a compaction writes before it replaces the log.
const REPLACEMENT_SUFFIX: &str = ".new";
/// How long the start of a process waits for the lock. Another process holds it for one write and its fsync,
/// or for a compaction.
const OPEN_LOCK_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a process that serves requests waits for the lock. The wait blocks its event loop.
const LOCK_TIMEOUT: Duration = Duration::from_millis(250);

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
    /// The lock can't be taken.
    #[error("purge log: {0}")]
    Lock(#[from] LockError),
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

/// What was read from a log.
#[derive(Debug, Default)]
pub struct LogContents {
    /// The valid records, in order.
    pub records: Vec<Record>,
    /// The tail that was removed, if any.
    pub truncated: Option<TruncatedTail>,
    /// Whether the records are those of the whole file, and not only those after the last read.
    pub is_whole_file: bool,
    /// The file no longer contains the records that this process had read or written, because it was deleted or
    /// shortened.
    pub lost_records: bool,
}

/// A log that was opened and is still locked, and its contents.
#[derive(Debug)]
pub struct OpenedLog {
    /// The log, to append to.
    pub log: PurgeLog,
    /// Its lock.
    pub lock: FileLock,
    /// Its contents.
    pub contents: LogContents,
}

/// Identifies a file; a compacted log is a new file at the same path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct FileId {
    device: u64,
    inode: u64,
}

impl FileId {
    fn of(metadata: &Metadata) -> Self {
        Self { device: metadata.dev(), inode: metadata.ino() }
    }
}

/// A log open for reading and appending.
#[derive(Debug)]
pub struct PurgeLog {
    path: PathBuf,
    file: File,
    file_id: FileId,
    lock_file: LockFile,
    /// The size up to which this process has read or written the file, in bytes.
    size_bytes: u64,
}

/// Adds the file and the operation to an I/O error.
fn io_error<'a>(path: &'a Path, operation: &'static str) -> impl FnOnce(std::io::Error) -> LogError + 'a {
    move |source| LogError::Io { path: path.to_path_buf(), operation, source }
}

/// Opens a log's file, or creates an empty one.
fn open_file(path: &Path) -> Result<(File, FileId), LogError> {
    let file =
        OpenOptions::new().read(true).append(true).create(true).open(path).map_err(io_error(path, "open"))?;
    let metadata = file.metadata().map_err(io_error(path, "stat"))?;
    Ok((file, FileId::of(&metadata)))
}

impl PurgeLog {
    /// Opens a log, or creates an empty one. Reads its records, and truncates it at the first invalid one.
    pub fn open(path: &Path) -> Result<OpenedLog, LogError> {
        let mut lock_file = LockFile::open_beside(path)?;
        let lock = lock_file.acquire(OPEN_LOCK_TIMEOUT)?;
        let (file, file_id) = open_file(path)?;
        let mut log = Self { path: path.to_path_buf(), file, file_id, lock_file, size_bytes: 0 };
        let contents = log.read_from_start()?;
        Ok(OpenedLog { log, lock, contents })
    }

    /// Takes the lock. [`Self::read_new`] must follow before anything is appended.
    pub fn lock(&mut self) -> Result<FileLock, LogError> {
        Ok(self.lock_file.acquire(LOCK_TIMEOUT)?)
    }

    /// Whether the file is as this process has last read or written it. Needs no lock.
    pub fn is_current(&self) -> Result<bool, LogError> {
        let on_disk = self.metadata_of_path()?;
        Ok(on_disk
            .is_some_and(|on_disk| FileId::of(&on_disk) == self.file_id && on_disk.len() == self.size_bytes))
    }

    /// The metadata of the file that the path names now, if there is one.
    fn metadata_of_path(&self) -> Result<Option<Metadata>, LogError> {
        match std::fs::metadata(&self.path) {
            Ok(metadata) => Ok(Some(metadata)),
            Err(error) if error.kind() == std::io::ErrorKind::NotFound => Ok(None),
            Err(error) => Err(io_error(&self.path, "stat")(error)),
        }
    }

    /// Reads the records that other processes have appended; all records if one of them has compacted the
    /// log. Truncates the file at the first invalid record.
    pub fn read_new(&mut self, _lock: &FileLock) -> Result<LogContents, LogError> {
        let lost = LogContents { lost_records: true, ..LogContents::default() };
        let Some(on_disk) = self.metadata_of_path()? else { return Ok(lost) };
        if FileId::of(&on_disk) != self.file_id {
            return self.read_replaced();
        }
        if on_disk.len() < self.size_bytes {
            return Ok(lost);
        }
        let encoded = self.read_bytes_from(self.size_bytes)?;
        self.decode_tail(&encoded)
    }

    /// Reads the new file at the path. If it is not a purge log, it is left unchanged.
    fn read_replaced(&mut self) -> Result<LogContents, LogError> {
        let (file, file_id) = open_file(&self.path)?;
        let previous = (std::mem::replace(&mut self.file, file), self.file_id, self.size_bytes);
        self.file_id = file_id;
        let contents = self.read_from_start();
        if contents.is_err() {
            (self.file, self.file_id, self.size_bytes) = previous;
        }
        contents
    }

    fn read_from_start(&mut self) -> Result<LogContents, LogError> {
        let bytes = self.read_bytes_from(0)?;
        self.size_bytes = MAGIC.len() as u64;
        if bytes.is_empty() {
            self.write_magic()?;
            return Ok(LogContents { is_whole_file: true, ..LogContents::default() });
        }
        match bytes.strip_prefix(MAGIC.as_slice()) {
            Some(encoded) => Ok(LogContents { is_whole_file: true, ..self.decode_tail(encoded)? }),
            None => Err(LogError::NotPurgeLog(self.path.clone())),
        }
    }

    fn read_bytes_from(&self, offset: u64) -> Result<Vec<u8>, LogError> {
        let size = self.file.metadata().map_err(io_error(&self.path, "stat"))?.len();
        if size > MAX_FILE_BYTES {
            return Err(LogError::TooLarge(self.path.clone()));
        }
        let mut bytes = vec![0; size.saturating_sub(offset) as usize];
        self.file.read_exact_at(&mut bytes, offset).map_err(io_error(&self.path, "read"))?;
        Ok(bytes)
    }

    /// Decodes the bytes that follow the first `size_bytes`, up to the end of the file.
    fn decode_tail(&mut self, encoded: &[u8]) -> Result<LogContents, LogError> {
        let DecodedLog { records, fault } = decode(encoded);
        let end = self.size_bytes + encoded.len() as u64;
        let truncated = match fault {
            Some(invalid) => {
                let offset = self.size_bytes + invalid.offset as u64;
                let tail = TruncatedTail { offset, removed: end - offset, fault: invalid.fault };
                self.truncate(&tail, records.len())?;
                Some(tail)
            }
            None => None,
        };
        self.size_bytes = truncated.as_ref().map_or(end, |tail| tail.offset);
        Ok(LogContents { records, truncated, ..LogContents::default() })
    }

    /// Writes the magic to an empty file.
    fn write_magic(&mut self) -> Result<(), LogError> {
        self.file.write_all(MAGIC).map_err(io_error(&self.path, "write"))?;
        self.file.sync_all().map_err(io_error(&self.path, "fsync"))?;
        sync_directory(&self.path)
    }

    fn truncate(&mut self, tail: &TruncatedTail, intact_records: usize) -> Result<(), LogError> {
        tracing::error!(
            log = %self.path.display(), offset = tail.offset, removed = tail.removed, fault = %tail.fault,
            intact_records,
            "purge log: truncated at the first invalid record"
        );
        self.file.set_len(tail.offset).map_err(io_error(&self.path, "truncate"))?;
        self.file.sync_all().map_err(io_error(&self.path, "fsync"))
    }

    /// Appends a record; with `durable`, returns once it is on disk. After an error the file is as before.
    pub fn append(&mut self, _lock: &FileLock, record: &Record, durable: bool) -> Result<(), LogError> {
        let encoded = encode(record)?;
        if let Err(error) = self.write_at_end(&encoded, durable) {
            if let Err(error) = self.file.set_len(self.size_bytes) {
                tracing::error!(%error, "purge log: a record that was not written completely can't be removed");
            }
            return Err(error);
        }
        self.size_bytes += encoded.len() as u64;
        Ok(())
    }

    fn write_at_end(&mut self, encoded: &[u8], durable: bool) -> Result<(), LogError> {
        self.file.write_all(encoded).map_err(io_error(&self.path, "write"))?;
        if durable {
            self.file.sync_data().map_err(io_error(&self.path, "fsync"))?;
        }
        Ok(())
    }

    /// Flushes the records appended without `durable` to disk.
    pub fn sync(&mut self) -> Result<(), LogError> {
        self.file.sync_data().map_err(io_error(&self.path, "fsync"))
    }

    /// Replaces the log with these records, atomically.
    pub fn rewrite(&mut self, _lock: &FileLock, records: &[Record]) -> Result<(), LogError> {
        let replacement = path_with_suffix(&self.path, REPLACEMENT_SUFFIX);
        let mut bytes = MAGIC.to_vec();
        for record in records {
            bytes.extend(encode(record)?);
        }
        let mut file = File::create(&replacement).map_err(io_error(&replacement, "create"))?;
        file.write_all(&bytes).map_err(io_error(&replacement, "write"))?;
        file.sync_all().map_err(io_error(&replacement, "fsync"))?;
        std::fs::rename(&replacement, &self.path).map_err(io_error(&self.path, "rename"))?;
        sync_directory(&self.path)?;
        (self.file, self.file_id) = open_file(&self.path)?;
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
