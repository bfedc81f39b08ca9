//! `check`: reads all files as `serve` would.

use super::error::CliError;
use super::files::read_config;
use super::PROGRAM;
use argh::FromArgs;
use edge_proxy::lifecycle::subsystem_configs::{SubsystemConfigs, SubsystemFiles};
use std::path::PathBuf;

/// Check a configuration and report what is wrong with it.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub struct Check {
    /// the configuration; else the file that NODE_CONFIG names
    #[argh(option)]
    config: Option<PathBuf>,
    /// the file of signed URLs
    #[argh(option)]
    signed_urls: Option<PathBuf>,
    /// the file of a virtual router (VRRP)
    #[argh(option)]
    vrrp: Option<PathBuf>,
    /// the file of fleet purges
    #[argh(option)]
    purges: Option<PathBuf>,
    /// the file of admission control
    #[argh(option)]
    admission: Option<PathBuf>,
    /// the file of the registry client
    #[argh(option)]
    registry: Option<PathBuf>,
    /// the file of gRPC pass-through
    #[argh(option)]
    grpc: Option<PathBuf>,
    /// the file of HTTP/3
    #[argh(option)]
    http3: Option<PathBuf>,
    /// the file of health checks shared among instances
    #[argh(option)]
    health_checks: Option<PathBuf>,
    /// the file of routing rules
    #[argh(option)]
    rules: Option<PathBuf>,
}

impl Check {
    /// Reads and checks all files.
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
        if let Some((_, rules)) = subsystems.rules {
            println!("{PROGRAM}: {} rules, at most {} steps a request", rules.0.len(), rules.max_cost());
        }
        println!("{PROGRAM}: the configuration of {:?} is in order", config.name);
        Ok(())
    }
}
