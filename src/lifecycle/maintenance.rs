//! The file in which maintenance of endpoints outlives a process: a new version of the program loads it, and both
//! versions read it while they serve side by side.

use crate::clock::duration_from_ms;
use crate::config_file::read_json;
use crate::engine::executor::Executor;
use crate::state::maintenance::MaintenanceCall;
use crate::text::{format_endpoint_id, parse_endpoint_id};
use crate::EndpointId;
use serde::Deserialize;
use std::path::PathBuf;
use std::rc::Rc;

/// How often the file is read, in milliseconds: what the other process wrote must hold here within 1 s.
const READ_INTERVAL_MS: f64 = 200.0;
/// The environment variable that names the folder of the file.
const FOLDER_VARIABLE: &str = "TMPDIR";

/// An endpoint's maintenance, as the file holds it.
#[derive(Debug, Deserialize)]
struct StoredMark {
    #[serde(rename = "member")]
    endpoint: String,
    out: bool,
    at_ms: f64,
}

impl StoredMark {
    /// The endpoint and its mark; `None` where its id cannot be read.
    fn decode(self) -> Option<(EndpointId, MaintenanceCall)> {
        Some((
            parse_endpoint_id(&self.endpoint)?,
            MaintenanceCall { out_of_use: self.out, at_ms: self.at_ms },
        ))
    }

    /// The JSON of an endpoint's mark.
    fn encode((id, mark): (EndpointId, MaintenanceCall)) -> String {
        let (endpoint, out, at_ms) = (format_endpoint_id(id), mark.out_of_use, mark.at_ms);
        format!("{{\"member\":\"{endpoint}\",\"out\":{out},\"at_ms\":{at_ms}}}")
    }
}

/// The file; none where the platform gives no folder.
#[derive(Clone, Debug)]
pub struct MaintenanceFile(Option<PathBuf>);

impl MaintenanceFile {
    /// The file of the proxy of this name in `$TMPDIR`.
    pub fn of_proxy(name: &str) -> Self {
        let plain_name: String = name.chars().filter(char::is_ascii_alphanumeric).collect();
        let folder = std::env::var_os(FOLDER_VARIABLE).filter(|folder| !folder.is_empty());
        let file = format!("calicobeam-{plain_name}-maintenance.json");
        Self(folder.map(|folder| PathBuf::from(folder).join(file)))
    }

    /// The file at a path.
    pub fn at(path: PathBuf) -> Self {
        Self(Some(path))
    }

    /// Puts the maintenance in force that the file holds. A file that is absent or cannot be read changes nothing.
    pub fn load(&self, executor: &Rc<Executor>) {
        let Some(path) = self.0.as_ref().filter(|path| path.exists()) else { return };
        match read_json::<Vec<StoredMark>>(path) {
            Ok(stored) => {
                let marks: Vec<_> = stored.into_iter().filter_map(StoredMark::decode).collect();
                executor.with(|engine| engine.merge_maintenance(marks));
            }
            Err(error) => tracing::error!(%error, "the maintenance file cannot be read"),
        }
    }

    /// Writes the maintenance in force. The file is replaced in one step, so that the other process never reads part of
    /// it.
    pub fn write(&self, executor: &Rc<Executor>) -> Result<(), std::io::Error> {
        let Some(path) = &self.0 else { return Ok(()) };
        let marks: Vec<String> =
            executor.with(|engine| engine.maintenance().iter().map(StoredMark::encode).collect());
        let temporary = path.with_extension(std::process::id().to_string());
        std::fs::write(&temporary, format!("[{}]\n", marks.join(",\n")))?;
        std::fs::rename(&temporary, path)
    }

    /// Loads the file every `READ_INTERVAL_MS`.
    pub async fn follow(self, executor: Rc<Executor>) {
        loop {
            self.load(&executor);
            tokio::time::sleep(duration_from_ms(READ_INTERVAL_MS)).await;
        }
    }
}
