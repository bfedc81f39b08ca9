//! The `serve` command: runs the proxy.

use super::error::CliError;
use super::files::read_config;
use super::logging;
use argh::FromArgs;
use edge_proxy::lifecycle::serve::serve;
use edge_proxy::lifecycle::subsystem_configs::{SubsystemConfigs, SubsystemFiles};
use std::path::PathBuf;
use tokio::task::LocalSet;

/// Run the proxy until SIGTERM or SIGINT.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
pub struct Serve {
    /// the configuration file; defaults to NODE_CONFIG
    #[argh(option)]
    config: Option<PathBuf>,
    /// the configuration file of signed URLs; without it they are disabled
    #[argh(option)]
    signed_urls: Option<PathBuf>,
    /// the configuration file of the virtual router (VRRP); without it VRRP is disabled
    #[argh(option)]
    vrrp: Option<PathBuf>,
    /// the configuration file of fleet purges; without it purges come from the discovery service only
    #[argh(option)]
    purges: Option<PathBuf>,
    /// the configuration file of admission control; without it every request is admitted immediately
    #[argh(option)]
    admission: Option<PathBuf>,
    /// the configuration file of the registry client; without it endpoints come from the discovery service
    #[argh(option)]
    registry: Option<PathBuf>,
    /// the configuration file of gRPC pass-through; without it gRPC is disabled
    #[argh(option)]
    grpc: Option<PathBuf>,
    /// the configuration file of HTTP/3; without it HTTP/3 is disabled
    #[argh(option)]
    http3: Option<PathBuf>,
    /// the configuration file of health checks shared between instances; without it they are disabled
    #[argh(option)]
    health_checks: Option<PathBuf>,
    /// the configuration file of routing rules; without it the platform's URL format classifies requests
    #[argh(option)]
    rules: Option<PathBuf>,
}

impl Serve {
    /// Reads all files and runs the proxy.
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
        let log = logging::start();
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.map_err(CliError::Runtime)?;
        Ok(LocalSet::new().block_on(&runtime, serve(config, subsystems, log.metrics()))?)
    }
}
