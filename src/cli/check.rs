//! The `check` command: validates all files that `serve` would read.

use super::error::CliError;
use super::files::read_config;
use super::PROGRAM;
use argh::FromArgs;
use edge_proxy::lifecycle::subsystem_configs::{SubsystemConfigs, SubsystemFiles};
use std::path::PathBuf;

/// Validate a configuration and its files.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub struct Check {
    /// the configuration file; defaults to NODE_CONFIG
    #[argh(option)]
    config: Option<PathBuf>,
    /// the configuration file of signed URLs
    #[argh(option)]
    signed_urls: Option<PathBuf>,
    /// the configuration file of the virtual router (VRRP)
    #[argh(option)]
    vrrp: Option<PathBuf>,
    /// the configuration file of fleet purges
    #[argh(option)]
    purges: Option<PathBuf>,
    /// the configuration file of admission control
    #[argh(option)]
    admission: Option<PathBuf>,
    /// the configuration file of the registry client
    #[argh(option)]
    registry: Option<PathBuf>,
    /// the configuration file of gRPC pass-through
    #[argh(option)]
    grpc: Option<PathBuf>,
    /// the configuration file of HTTP/3
    #[argh(option)]
    http3: Option<PathBuf>,
    /// the configuration file of health checks shared between instances
    #[argh(option)]
    health_checks: Option<PathBuf>,
    /// the configuration file of routing rules
    #[argh(option)]
    rules: Option<PathBuf>,
}

impl Check {
    /// Reads and validates all files.
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
            println!("{PROGRAM}: {} rules, at most {} steps per request", rules.0.len(), rules.max_cost());
        }
        println!("{PROGRAM}: the configuration of {:?} is valid", config.name);
        Ok(())
    }
}
