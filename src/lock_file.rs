//! An advisory lock on a file, which excludes other processes of the same proxy, for example during an upgrade.
//! The operating system releases it when its process ends, however it ends.

use std::fs::{File, OpenOptions, TryLockError};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};
use thiserror::Error;

/// Suffix that the name of a lock file adds to that of the file it protects.
const SUFFIX: &str = ".lock";
/// Interval between attempts to take the lock.
const RETRY_INTERVAL: Duration = Duration::from_millis(1);

/// Why the lock can't be taken.
#[derive(Debug, Error)]
pub enum LockError {
    /// An I/O operation on the lock file failed.
    #[error("lock file {path}: {operation}: {source}")]
    Io {
        /// The path of the lock file.
        path: PathBuf,
        /// The operation.
        operation: &'static str,
        /// The operating system's error.
        source: std::io::Error,
    },
    /// Another process holds the lock.
    #[error("lock file {path}: another process holds the lock (waited for {} ms)", waited.as_millis())]
    Held {
        /// The path of the lock file.
        path: PathBuf,
        /// How long this process has waited.
        waited: Duration,
    },
}

/// An open lock file.
#[derive(Debug)]
pub struct LockFile {
    path: PathBuf,
    file: Arc<File>,
    /// Whether the last wait was in vain. Until the lock is free again, no further call waits, so that a
    /// process that is stopped while it holds the lock does not slow this one down.
    timed_out: bool,
}

/// The lock, held until this value is dropped.
#[derive(Debug)]
pub struct FileLock {
    file: Arc<File>,
}

/// A path next to `path`, with a suffix added to the file's name.
pub fn path_with_suffix(path: &Path, suffix: &str) -> PathBuf {
    let mut name = path.to_path_buf().into_os_string();
    name.push(suffix);
    PathBuf::from(name)
}

impl LockFile {
    /// Opens the lock file of the file at `path`, or creates it: `path` with `.lock` added.
    pub fn open_beside(path: &Path) -> Result<Self, LockError> {
        Self::open(path_with_suffix(path, SUFFIX))
    }

    /// Opens the lock file at `path`, or creates it.
    pub fn open(path: PathBuf) -> Result<Self, LockError> {
        match OpenOptions::new().write(true).create(true).truncate(false).open(&path) {
            Ok(file) => Ok(Self { path, file: Arc::new(file), timed_out: false }),
            Err(source) => Err(LockError::Io { path, operation: "open", source }),
        }
    }

    /// Takes the lock. While another process holds it, waits for at most `timeout`.
    pub fn acquire(&mut self, timeout: Duration) -> Result<FileLock, LockError> {
        let waited = if self.timed_out { Duration::ZERO } else { timeout };
        let deadline = Instant::now() + waited;
        loop {
            match self.file.try_lock() {
                Err(TryLockError::WouldBlock) if Instant::now() < deadline => {
                    std::thread::sleep(RETRY_INTERVAL);
                }
                result => {
                    self.timed_out = matches!(result, Err(TryLockError::WouldBlock));
                    return self.held(result, waited);
                }
            }
        }
    }

    /// Takes the lock together with other processes that take it in this way, without waiting.
    pub fn try_acquire_shared(&self) -> Result<FileLock, LockError> {
        self.held(self.file.try_lock_shared(), Duration::ZERO)
    }

    /// The lock that `result` reports as taken, or why it was not taken.
    fn held(&self, result: Result<(), TryLockError>, waited: Duration) -> Result<FileLock, LockError> {
        match result {
            Ok(()) => Ok(FileLock { file: self.file.clone() }),
            Err(TryLockError::WouldBlock) => Err(LockError::Held { path: self.path.clone(), waited }),
            Err(TryLockError::Error(source)) => {
                Err(LockError::Io { path: self.path.clone(), operation: "lock", source })
            }
        }
    }
}

impl Drop for FileLock {
    fn drop(&mut self) {
        if let Err(error) = self.file.unlock() {
            tracing::error!(%error, "a file lock can't be released");
        }
    }
}

#[cfg(test)]
mod tests;
