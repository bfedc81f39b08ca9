//! `serve`: the serving process.

use super::error::CliError;
use super::files::read_config;
use super::logging;
use argh::FromArgs;
use edge_proxy::lifecycle::serve::serve;
use edge_proxy::lifecycle::subsystem_configs::{SubsystemConfigs, SubsystemFiles};
use std::path::PathBuf;
use tokio::task::LocalSet;

/// Serve until SIGTERM.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
pub struct Serve {
    /// the configuration; else the file that NODE_CONFIG names
    #[argh(option)]
    config: Option<PathBuf>,
    /// the file of signed URLs; without it there is no such front
    #[argh(option)]
    signed_urls: Option<PathBuf>,
    /// the file of a virtual router (VRRP); without it no packet is sent
    #[argh(option)]
    vrrp: Option<PathBuf>,
    /// the file of fleet purges; without it purges come from the discovery service alone
    #[argh(option)]
    purges: Option<PathBuf>,
    /// the file of admission control; without it every request goes to the engine at once
    #[argh(option)]
    admission: Option<PathBuf>,
    /// the file of the registry client; without it the endpoints come from the discovery service
    #[argh(option)]
    registry: Option<PathBuf>,
    /// the file of gRPC pass-through; without it there is no such front
    #[argh(option)]
    grpc: Option<PathBuf>,
    /// the file of HTTP/3; without it there is no such front
    #[argh(option)]
    http3: Option<PathBuf>,
    /// the file of health checks shared among instances; without it no endpoint is checked
    #[argh(option)]
    health_checks: Option<PathBuf>,
    /// the file of routing rules; without it requests are classified by the platform's own spelling
    #[argh(option)]
    rules: Option<PathBuf>,
}

impl Serve {
    /// Reads all files and serves.
    pub fn run(self) -> Result<(), CliError> {
        let config = read_config(self.config)?;
        let files = SubsystemFiles {
            signed_urls: self.signed_urls,
            vrrp: self.vrrp,
            purges: self.purges,
            admission: self.admission,
            registry: self.registry,
            grpc: self.grpc,
            http3: self.http3,
            health_checks: self.health_checks,
            rules: self.rules,
        };
        let subsystems = SubsystemConfigs::read(&files, config.limits.max_descriptors)?;
        logging::start();
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.map_err(CliError::Runtime)?;
        Ok(LocalSet::new().block_on(&runtime, serve(config, subsystems))?)
    }
}
