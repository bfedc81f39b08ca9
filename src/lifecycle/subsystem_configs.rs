//! The configuration files of the optional subsystems.

use super::descriptors::DescriptorDemand;
use super::signed_urls::SignedUrlConfig;
use crate::admission::config::AdmissionConfig;
use crate::config_file::ConfigError;
use crate::grpc::config::GrpcConfig;
use crate::health_check::config::HealthCheckConfig;
use crate::health_check::driver::MAX_CONCURRENT_CHECKS;
use crate::http3::config::Http3Config;
use crate::purge::config::PurgeConfig;
use crate::purge::service::MAX_CONCURRENT_CALLS;
use crate::registry::config::RegistryConfig;
use crate::rules::config::RulesConfig;
use crate::rules::table::Rules;
use crate::vrrp::config::{FrontKind, VrrpConfig};
use std::path::{Path, PathBuf};

/// The paths of the subsystems' files. A subsystem without a file is disabled.
#[derive(Clone, Debug, Default)]
pub struct SubsystemFiles {
    /// Signed URLs.
    pub signed_urls: Option<PathBuf>,
    /// A virtual router (VRRP).
    pub vrrp: Option<PathBuf>,
    /// Fleet-wide purges.
    pub purges: Option<PathBuf>,
    /// Admission control.
    pub admission: Option<PathBuf>,
    /// The registry client.
    pub registry: Option<PathBuf>,
    /// gRPC pass-through.
    pub grpc: Option<PathBuf>,
    /// HTTP/3.
    pub http3: Option<PathBuf>,
    /// Health checks shared between instances.
    pub health_checks: Option<PathBuf>,
    /// Routing rules.
    pub rules: Option<PathBuf>,
}

/// The configurations of the enabled subsystems.
#[derive(Default)]
pub struct SubsystemConfigs {
    /// Signed URLs.
    pub signed_urls: Option<SignedUrlConfig>,
    /// A virtual router (VRRP).
    pub vrrp: Option<VrrpConfig>,
    /// Fleet-wide purges.
    pub purges: Option<PurgeConfig>,
    /// Admission control.
    pub admission: Option<AdmissionConfig>,
    /// The registry client.
    pub registry: Option<RegistryConfig>,
    /// gRPC pass-through.
    pub grpc: Option<GrpcConfig>,
    /// HTTP/3.
    pub http3: Option<Http3Config>,
    /// Health checks shared between instances.
    pub health_checks: Option<HealthCheckConfig>,
    /// Routing rules: the configuration file and the compiled rules.
    pub rules: Option<(RulesConfig, Rules)>,
}

/// Reads the file of a subsystem, if it has one.
fn read_optional<C>(
    file: &Option<PathBuf>,
    read: impl FnOnce(&Path) -> Result<C, ConfigError>,
) -> Result<Option<C>, ConfigError> {
    file.as_deref().map(read).transpose()
}

impl SubsystemConfigs {
    /// Reads and validates all files, for a process with a limit of `max_descriptors` file descriptors.
    pub fn read(files: &SubsystemFiles, max_descriptors: usize) -> Result<Self, ConfigError> {
        Ok(Self {
            signed_urls: read_optional(&files.signed_urls, |path| {
                SignedUrlConfig::read(path, max_descriptors)
            })?,
            vrrp: read_optional(&files.vrrp, VrrpConfig::read)?,
            purges: read_optional(&files.purges, PurgeConfig::read)?,
            admission: read_optional(&files.admission, AdmissionConfig::read)?,
            registry: read_optional(&files.registry, RegistryConfig::read)?,
            grpc: read_optional(&files.grpc, GrpcConfig::read)?,
            http3: read_optional(&files.http3, Http3Config::read)?,
            health_checks: read_optional(&files.health_checks, HealthCheckConfig::read)?,
            rules: read_optional(&files.rules, RulesConfig::read)?,
        })
    }

    /// The number of listeners of a front: its own and those at virtual addresses.
    pub fn listener_count(&self, front: FrontKind) -> usize {
        let virtual_listeners = self.vrrp.iter().flat_map(|vrrp| &vrrp.listeners);
        1 + virtual_listeners.filter(|listener| listener.front == front).count()
    }

    /// The maximum number of file descriptors that the subsystems use.
    pub fn descriptor_demand(&self, handed_over: bool) -> DescriptorDemand {
        let signed_urls = self
            .signed_urls
            .as_ref()
            .map_or(0, |c| c.max_connections() * self.listener_count(FrontKind::Signed));
        let grpc = self
            .grpc
            .as_ref()
            .map_or(0, |c| c.limits.clients * self.listener_count(FrontKind::Grpc) + c.limits.connections);
        let http3 =
            self.http3.as_ref().and_then(|c| c.tcp_address().map(|_| c.limits.tcp_connections)).unwrap_or(0);
        let purges = if self.purges.is_some() { MAX_CONCURRENT_CALLS } else { 0 };
        let health_checks = if self.health_checks.is_some() { MAX_CONCURRENT_CHECKS } else { 0 };
        DescriptorDemand {
            signed_url_clients: signed_urls,
            other_subsystems: grpc + http3 + purges + health_checks,
            handed_over,
        }
    }

    /// The names of the gRPC pools.
    pub fn grpc_pools(&self) -> Vec<String> {
        self.grpc.iter().flat_map(|grpc| grpc.pools.iter().map(|pool| pool.name.clone())).collect()
    }
}
