//! Creates the engine from a configuration, with limits derived from the file descriptor budget.

use super::config::Config;
use super::descriptors::{DescriptorBudget, DescriptorDemand, Descriptors};
use super::error::ServeError;
use crate::clock::Clock;
use crate::engine::{Engine, EngineLimits};
use crate::settings::PlatformSettings;
use crate::state::connections::ConnectionLimits;
use std::rc::Rc;

/// The descriptor limit divided by this is the maximum number of connections to one endpoint, between
/// [`MIN_ENDPOINT_CONNECTIONS`] and [`MAX_ENDPOINT_CONNECTIONS`].
const DESCRIPTORS_PER_ENDPOINT_CONNECTION: usize = 64;
/// Minimum limit on connections to one endpoint.
const MIN_ENDPOINT_CONNECTIONS: usize = 2;
/// Maximum limit on connections to one endpoint.
const MAX_ENDPOINT_CONNECTIONS: usize = 16;
/// Number of requests on a connection at which another connection to the endpoint is opened.
const REQUESTS_BEFORE_NEW_CONNECTION: usize = 4;

/// Creates the engine with the initial state of a configuration, for a process that may use the configured
/// number of descriptors. The front for signed URLs may have `signed_url_clients` client connections.
pub fn engine(
    config: &Config,
    clock: &Clock,
    signed_url_clients: usize,
) -> Result<(Engine, Rc<PlatformSettings>), ServeError> {
    let demand = DescriptorDemand {
        signed_url_clients,
        handed_over: config.handed_over,
        ..DescriptorDemand::default()
    };
    let budget = DescriptorBudget::new(Descriptors::estimated(config.limits.max_descriptors), demand);
    engine_with_budget(config, clock, signed_url_clients, budget)
}

/// Creates the engine of a configuration within a descriptor budget.
pub fn engine_with_budget(
    config: &Config,
    clock: &Clock,
    signed_url_clients: usize,
    budget: DescriptorBudget,
) -> Result<(Engine, Rc<PlatformSettings>), ServeError> {
    let settings = Rc::new(config.settings.clone());
    let seed = config.seed().map_err(ServeError::field("seed"))?;
    let max_descriptors = config.limits.max_descriptors;
    let connections = ConnectionLimits {
        total: budget.endpoints,
        per_endpoint: (max_descriptors / DESCRIPTORS_PER_ENDPOINT_CONNECTION)
            .clamp(MIN_ENDPOINT_CONNECTIONS, MAX_ENDPOINT_CONNECTIONS),
        spread_above: REQUESTS_BEFORE_NEW_CONNECTION,
        streams_per_connection: settings.streams_per_connection(),
    };
    let limits = EngineLimits { requests: max_descriptors * 2 / 5 + signed_url_clients, connections };
    let mut engine = Engine::new(clock.clone(), settings.clone(), seed, limits);
    for event in config.initial_state.events().map_err(ServeError::field("known"))? {
        engine.apply_event(event);
    }
    engine.skip_events_to(config.initial_state.last_number);
    Ok((engine, settings))
}
