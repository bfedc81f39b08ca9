//! The subsystems of the server process, and the order in which they are handled.

mod admin;
mod admission;
mod discovery;
mod engine_timer;
mod grpc;
mod health_checks;
mod http3;
mod platform;
mod purges;
mod registry;
mod rules;
mod settings;
mod signed_urls;
mod vrrp;

pub use admission::reload_admission;
pub use settings::reload_config;

use super::config::Config;
use super::error::ServeError;
use super::subsystem::Subsystem;
use super::subsystem_configs::SubsystemConfigs;
use crate::vrrp::config::{EnabledSubsystems, FrontKind};
use std::net::TcpListener;
use tokio::sync::watch;

/// Creates the enabled subsystems, in the order in which they are prepared, started, reloaded and stopped:
///
/// 1. Settings, admission and rules open no sockets; the fronts depend on them.
/// 2. The engine's timer and the endpoint watch start before any front accepts a request, which depends on them.
/// 3. The platform listener opens before the other sockets, so that clients queue in its backlog while the rest
///    starts.
/// 4. The admin address reports the state of all prepared subsystems, and restores endpoint maintenance. Fleet
///    purges start once it accepts calls.
/// 5. The health checks and the other fronts open once purges and maintenance are in effect.
/// 6. The virtual router starts last: it claims addresses for fronts that must be able to serve.
pub fn create_subsystems(
    config: &Config,
    configs: SubsystemConfigs,
    inherited_listener: Option<TcpListener>,
) -> Result<Vec<Box<dyn Subsystem>>, ServeError> {
    let address = config.discovery_address().map_err(ServeError::field("bulletin"))?;
    let (discovery_sender, discovery_address) = watch::channel(address);
    let platform_listeners = configs.listener_count(FrontKind::Platform);
    let enabled = EnabledSubsystems {
        signed_urls: configs.signed_urls.is_some(),
        grpc_pools: configs.grpc_pools(),
        admission: configs.admission.is_some(),
        registry: configs.registry.is_some(),
    };
    let SubsystemConfigs {
        signed_urls,
        vrrp,
        purges,
        admission,
        registry,
        grpc,
        http3,
        health_checks,
        rules,
    } = configs;
    let all: Vec<Option<Box<dyn Subsystem>>> = vec![
        Some(Box::new(settings::Settings::new(discovery_sender))),
        admission.map(|config| boxed(admission::Admission::new(config))),
        rules.map(|(config, rules)| boxed(rules::RoutingRules::new(config, rules))),
        Some(Box::new(engine_timer::EngineTimer)),
        Some(Box::new(discovery::Discovery::new(discovery_address))),
        Some(Box::new(platform::PlatformListener::new(inherited_listener, platform_listeners))),
        registry.map(|config| boxed(registry::Registry::new(config))),
        Some(Box::new(admin::AdminAddress)),
        purges.map(|config| boxed(purges::Purges::new(config))),
        health_checks.map(|config| boxed(health_checks::HealthChecks::new(config))),
        signed_urls.map(|config| boxed(signed_urls::SignedUrls::new(config))),
        http3.map(|config| boxed(http3::Http3::new(config))),
        grpc.map(|config| boxed(grpc::Grpc::new(config))),
        vrrp.map(|config| boxed(vrrp::Vrrp::new(config, enabled))),
    ];
    Ok(all.into_iter().flatten().collect())
}

fn boxed(subsystem: impl Subsystem + 'static) -> Box<dyn Subsystem> {
    Box::new(subsystem)
}
