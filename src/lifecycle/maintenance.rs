//! The file in which maintenance of members outlives a process: a new version of the program takes it over, and both
//! read it while they serve side by side.

use crate::clock::duration_from_ms;
use crate::config_file::read_json;
use crate::engine::executor::Executor;
use crate::state::maintenance::Mark;
use crate::text::{format_endpoint_id, parse_endpoint_id};
use crate::EndpointId;
use serde::Deserialize;
use std::path::PathBuf;
use std::rc::Rc;

/// How often the file is looked at, in milliseconds: a word given to the other process must hold here within 1 s.
const LOOK_MS: f64 = 200.0;

#[derive(Debug, Deserialize)]
struct Line {
    #[serde(rename = "member")]
    endpoint: String,
    out: bool,
    at_ms: f64,
}

/// The file; none where the platform gives no folder.
#[derive(Clone, Debug)]
pub struct Store(Option<PathBuf>);

impl Store {
    /// The file of the proxy of this name in `$TMPDIR`.
    pub fn of(name: &str) -> Self {
        let plain: String = name.chars().filter(char::is_ascii_alphanumeric).collect();
        let folder = std::env::var_os("TMPDIR").filter(|folder| !folder.is_empty());
        Self(folder.map(|folder| PathBuf::from(folder).join(format!("calicobeam-{plain}-maintenance.json"))))
    }

    /// A file of this name.
    pub fn at(path: PathBuf) -> Self {
        Self(Some(path))
    }

    /// Takes over what the file says. An absent file says nothing, and neither does one that can't be read.
    pub fn take_over(&self, host: &Rc<Executor>) {
        let Some(path) = self.0.as_ref().filter(|path| path.exists()) else { return };
        match read_json::<Vec<Line>>(path) {
            Ok(lines) => {
                let marks = lines.into_iter().filter_map(|line| {
                    let mark = Mark { out: line.out, at_ms: line.at_ms };
                    Some((parse_endpoint_id(&line.endpoint)?, mark))
                });
                let marks: Vec<(EndpointId, Mark)> = marks.collect();
                host.with(|engine| engine.merge_maintenance(marks));
            }
            Err(error) => tracing::error!(%error, "maintenance can't be read"),
        }
    }

    /// Writes down what holds by now. The file is replaced whole, so that the other process never reads half of it.
    pub fn write(&self, host: &Rc<Executor>) -> Result<(), std::io::Error> {
        let Some(path) = &self.0 else { return Ok(()) };
        let line = |(id, mark): (EndpointId, Mark)| {
            let (endpoint, out, at_ms) = (format_endpoint_id(id), mark.out, mark.at_ms);
            format!("{{\"member\":\"{endpoint}\",\"out\":{out},\"at_ms\":{at_ms}}}")
        };
        let lines: Vec<String> = host.with(|engine| engine.maintenance().iter().map(line).collect());
        let fresh = path.with_extension(std::process::id().to_string());
        std::fs::write(&fresh, format!("[{}]\n", lines.join(",\n")))?;
        std::fs::rename(&fresh, path)
    }

    /// Follows the file for ever.
    pub async fn follow(self, host: Rc<Executor>) {
        loop {
            self.take_over(&host);
            tokio::time::sleep(duration_from_ms(LOOK_MS)).await;
        }
    }
}
