//! Reads the configuration file of the proxy.

use super::error::CliError;
use edge_proxy::lifecycle::config::Config;
use std::path::PathBuf;

/// Environment variable in which the platform passes the path of the configuration file.
const CONFIG_VARIABLE: &str = "NODE_CONFIG";

/// Reads the configuration file given by an option, or else by the environment.
pub fn read_config(option: Option<PathBuf>) -> Result<Config, CliError> {
    let path = option.or_else(|| std::env::var_os(CONFIG_VARIABLE).map(PathBuf::from));
    Ok(Config::read(&path.ok_or(CliError::NoConfiguration)?)?)
}
