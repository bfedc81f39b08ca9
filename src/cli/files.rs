//! The configuration file of the proxy.

use super::error::CliError;
use edge_proxy::lifecycle::config::Config;
use std::path::PathBuf;

/// The environment variable by which the platform names the configuration.
const CONFIG_VARIABLE: &str = "NODE_CONFIG";

/// Reads the configuration that an option names, or else the environment.
pub fn read_config(option: Option<PathBuf>) -> Result<Config, CliError> {
    let path = option.or_else(|| std::env::var_os(CONFIG_VARIABLE).map(PathBuf::from));
    Ok(Config::read(&path.ok_or(CliError::NoConfiguration)?)?)
}
