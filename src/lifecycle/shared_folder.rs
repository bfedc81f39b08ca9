//! The folder that the processes of one proxy share: `$TMPDIR`, which the platform keeps during an upgrade.

use std::path::PathBuf;

/// Environment variable that names the folder.
const FOLDER_VARIABLE: &str = "TMPDIR";

/// The path of a file of the proxy `name` in the shared folder; `None` if the platform provides no folder.
pub fn file_of_proxy(name: &str, file: &str) -> Option<PathBuf> {
    let plain_name: String = name.chars().filter(char::is_ascii_alphanumeric).collect();
    let folder = std::env::var_os(FOLDER_VARIABLE).filter(|folder| !folder.is_empty())?;
    Some(PathBuf::from(folder).join(format!("calicobeam-{plain_name}-{file}")))
}
