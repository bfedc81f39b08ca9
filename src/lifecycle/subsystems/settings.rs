//! Reload of the platform settings and the address of the discovery service on SIGHUP.

use crate::config_file::BoxError;
use crate::engine::executor::Executor;
use crate::lifecycle::config::Config;
use crate::lifecycle::subsystem::{Context, Subsystem};
use crate::settings::PlatformSettings;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::watch;

/// The platform settings subsystem.
pub struct Settings {
    discovery_address: watch::Sender<SocketAddr>,
}

impl Settings {
    /// Creates the subsystem. A reload sends a changed address of the discovery service to
    /// `discovery_address`.
    pub fn new(discovery_address: watch::Sender<SocketAddr>) -> Self {
        Self { discovery_address }
    }
}

impl Subsystem for Settings {
    fn reload(&mut self, context: &Context) {
        reload_config(&context.executor, &context.config, &self.discovery_address);
    }
}

/// Reloads the configuration, applies its settings and redirects the endpoint watch if the address of the
/// discovery service changed. An invalid file leaves the configuration unchanged.
pub fn reload_config(
    executor: &Rc<Executor>,
    config: &Config,
    discovery_address: &watch::Sender<SocketAddr>,
) {
    match read_file(config) {
        Ok((address, settings)) => {
            executor.with(|engine| {
                engine.counters.reloads += 1;
                engine.reconfigure(settings);
            });
            let changed =
                discovery_address.send_if_modified(|old| std::mem::replace(old, address) != address);
            tracing::info!(
                discovery_address = %address,
                discovery_address_changed = changed,
                "configuration reloaded"
            );
        }
        Err(reason) => {
            executor.with(|engine| engine.counters.reload_failures += 1);
            tracing::warn!(%reason, "configuration not reloaded");
        }
    }
}

fn read_file(config: &Config) -> Result<(SocketAddr, PlatformSettings), BoxError> {
    let fresh = config.reload()?;
    Ok((fresh.discovery_address()?, fresh.settings))
}
