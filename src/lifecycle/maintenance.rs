//! Persists endpoint maintenance in a file. The file survives an upgrade, and the old and the new process
//! share it while both serve.

use crate::clock::duration_from_ms;
use crate::config_file::read_json;
use crate::engine::executor::Executor;
use crate::lifecycle::shared_folder;
use crate::lock_file::LockFile;
use crate::state::maintenance::MaintenanceCall;
use crate::text::{format_endpoint_id, parse_endpoint_id};
use crate::EndpointId;
use serde::Deserialize;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

/// Interval between reads, in milliseconds. Changes by the other process must take effect here within 1 s.
const READ_INTERVAL_MS: f64 = 200.0;
/// How long a call waits while the other process writes the file. The wait blocks the event loop.
const LOCK_TIMEOUT: Duration = Duration::from_millis(250);
/// The name of the file in the shared folder.
const FILE_NAME: &str = "maintenance.json";

/// The maintenance state of an endpoint, as stored in the file.
#[derive(Debug, Deserialize)]
struct StoredRecord {
    #[serde(rename = "member")]
    endpoint: String,
    #[serde(rename = "out")]
    out_of_use: bool,
    at_ms: f64,
}

impl StoredRecord {
    /// Decodes a record. Returns `None` if its endpoint id is invalid.
    fn decode(self) -> Option<(EndpointId, MaintenanceCall)> {
        Some((
            parse_endpoint_id(&self.endpoint)?,
            MaintenanceCall { out_of_use: self.out_of_use, at_ms: self.at_ms },
        ))
    }

    /// Encodes a record as JSON.
    fn encode((id, call): (EndpointId, MaintenanceCall)) -> String {
        let (endpoint, out, at_ms) = (format_endpoint_id(id), call.out_of_use, call.at_ms);
        format!("{{\"member\":\"{endpoint}\",\"out\":{out},\"at_ms\":{at_ms}}}")
    }
}

/// The maintenance file; `None` if the platform provides no folder for it.
#[derive(Clone, Debug)]
pub struct MaintenanceFile(Option<PathBuf>);

impl MaintenanceFile {
    /// The maintenance file of the proxy `name`, in the folder that its processes share.
    pub fn of_proxy(name: &str) -> Self {
        Self(shared_folder::file_of_proxy(name, FILE_NAME))
    }

    /// A maintenance file at `path`.
    pub fn at(path: PathBuf) -> Self {
        Self(Some(path))
    }

    /// Merges the file's records into the engine's maintenance state. An absent file is ignored, and an error
    /// is logged if the file cannot be read.
    pub fn load(&self, executor: &Rc<Executor>) {
        let Some(path) = self.0.as_ref().filter(|path| path.exists()) else { return };
        match read_json::<Vec<StoredRecord>>(path) {
            Ok(stored) => {
                let records: Vec<_> = stored.into_iter().filter_map(StoredRecord::decode).collect();
                executor.with(|engine| engine.merge_maintenance(records));
            }
            Err(error) => tracing::error!(%error, "the maintenance file cannot be read"),
        }
    }

    /// Merges the file's records into the engine's maintenance state, and writes that. Under the file's lock, so
    /// that nothing is lost that the other process writes at the same time.
    pub fn store(&self, executor: &Rc<Executor>) -> Result<(), std::io::Error> {
        let Some(path) = &self.0 else { return Ok(()) };
        let mut lock_file = LockFile::open_beside(path).map_err(std::io::Error::other)?;
        let _lock = lock_file.acquire(LOCK_TIMEOUT).map_err(std::io::Error::other)?;
        self.load(executor);
        Self::write(path, executor)
    }

    /// Writes the engine's maintenance state. The file is replaced atomically, so that the other process never
    /// reads a partial file.
    fn write(path: &Path, executor: &Rc<Executor>) -> Result<(), std::io::Error> {
        let records: Vec<String> =
            executor.with(|engine| engine.maintenance().iter().map(StoredRecord::encode).collect());
        let temporary = path.with_extension(std::process::id().to_string());
        std::fs::write(&temporary, format!("[{}]\n", records.join(",\n")))?;
        std::fs::rename(&temporary, path)
    }

    /// Reloads the file every `READ_INTERVAL_MS`.
    pub async fn follow(self, executor: Rc<Executor>) {
        loop {
            self.load(&executor);
            tokio::time::sleep(duration_from_ms(READ_INTERVAL_MS)).await;
        }
    }
}
