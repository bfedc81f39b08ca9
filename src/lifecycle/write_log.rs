//! The ids of recent writes, shared between the processes of an upgrade through files in `$TMPDIR`.
//!
//! Each process appends the ids of its own writes to the file of the current period, and reads what the other one
//! has appended. A file is removed two periods later.

use super::shared_folder;
use crate::clock::Clock;
use crate::state::recent_writes::SharedWrites;
use crate::RequestId;
use std::collections::BTreeMap;
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::os::unix::fs::FileExt;
use std::path::PathBuf;

/// Duration of a period, in milliseconds.
const PERIOD_MS: f64 = 60_000.0;
/// Size of a record, in bytes: the id, and the number of the process that wrote it, both big-endian.
const RECORD_BYTES: usize = 16;
/// The most bytes that are read at a time.
const MAX_READ_BYTES: usize = 64 * 1_024;

/// The file of a period.
struct PeriodFile {
    file: File,
    /// The number of bytes that were read.
    position: u64,
}

/// The files of the current and the previous period.
pub struct WriteLog {
    clock: Clock,
    proxy: String,
    process: u64,
    files: BTreeMap<u64, PeriodFile>,
    has_failed: bool,
}

impl WriteLog {
    /// The log of the proxy `proxy`, for this process.
    pub fn new(clock: Clock, proxy: &str) -> Self {
        let process = u64::from(std::process::id());
        Self { clock, proxy: proxy.to_string(), process, files: BTreeMap::new(), has_failed: false }
    }

    fn period(&self) -> u64 {
        (self.clock.now() / PERIOD_MS) as u64
    }

    fn path(&self, period: u64) -> Option<PathBuf> {
        shared_folder::file_of_proxy(&self.proxy, &format!("writes-{period}"))
    }

    /// Opens the files of the current and the previous period, and removes older ones.
    fn open_files(&mut self) -> io::Result<()> {
        let current = self.period();
        let previous = current.saturating_sub(1);
        for period in [previous, current] {
            if self.files.contains_key(&period) {
                continue;
            }
            let Some(path) = self.path(period) else { return Ok(()) };
            let file = OpenOptions::new().read(true).append(true).create(true).open(path)?;
            self.files.insert(period, PeriodFile { file, position: 0 });
        }
        let kept = self.files.split_off(&previous);
        for period in std::mem::replace(&mut self.files, kept).into_keys() {
            // The other process may have removed it.
            let _ = self.path(period).map(std::fs::remove_file);
        }
        Ok(())
    }

    /// Logs the first of several errors in a row. Requests are served without the log.
    fn report<T: Default>(&mut self, result: io::Result<T>) -> T {
        let failed_before = std::mem::replace(&mut self.has_failed, result.is_err());
        result.unwrap_or_else(|error| {
            if !failed_before {
                tracing::error!(%error, "the writes of the other process of an upgrade are not known");
            }
            T::default()
        })
    }

    fn append(&mut self, id: RequestId) -> io::Result<()> {
        self.open_files()?;
        let Some(mut current) = self.files.last_entry() else { return Ok(()) };
        // One write call, so that the records of two processes do not mix.
        current.get_mut().file.write_all(&[id.to_be_bytes(), self.process.to_be_bytes()].concat())
    }

    fn read_new(&mut self) -> io::Result<Vec<RequestId>> {
        self.open_files()?;
        let mut ids = Vec::new();
        for file in self.files.values_mut() {
            file.read_new(self.process, &mut ids)?;
        }
        Ok(ids)
    }
}

impl PeriodFile {
    /// Reads the new records, and adds the ids of those that another process than `own_process` wrote.
    fn read_new(&mut self, own_process: u64, ids: &mut Vec<RequestId>) -> io::Result<()> {
        let end = self.file.metadata()?.len();
        while self.position + RECORD_BYTES as u64 <= end {
            let length = ((end - self.position) as usize).min(MAX_READ_BYTES);
            let mut records = vec![0; length - length % RECORD_BYTES];
            self.file.read_exact_at(&mut records, self.position)?;
            self.position += records.len() as u64;
            for record in records.chunks_exact(RECORD_BYTES) {
                let (id, process) = record.split_at(size_of::<RequestId>());
                let number =
                    |bytes: &[u8]| bytes.iter().fold(0, |number, byte| number << 8 | u64::from(*byte));
                if number(process) != own_process {
                    ids.push(number(id));
                }
            }
        }
        Ok(())
    }
}

impl SharedWrites for WriteLog {
    fn publish(&mut self, id: RequestId) {
        let result = self.append(id);
        self.report(result);
    }

    fn receive(&mut self) -> Vec<RequestId> {
        let result = self.read_new();
        self.report(result)
    }
}
