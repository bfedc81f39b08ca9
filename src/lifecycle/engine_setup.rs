//! The engine of a configuration, with the bounds that the process's file descriptors allow.

use super::config::Config;
use super::descriptors::{DescriptorBudget, DescriptorDemand, Descriptors};
use super::error::ServeError;
use crate::clock::Clock;
use crate::engine::{Engine, EngineLimits};
use crate::settings::PlatformSettings;
use crate::state::connections::ConnectionLimits;
use std::rc::Rc;

/// Connections to one endpoint: one for each 64 descriptors, within these bounds.
const DESCRIPTORS_PER_ENDPOINT_CONNECTION: usize = 64;
/// The fewest connections to one endpoint.
const MIN_ENDPOINT_CONNECTIONS: usize = 2;
/// The most connections to one endpoint.
const MAX_ENDPOINT_CONNECTIONS: usize = 16;
/// Connections over which an endpoint's requests are spread before one is shared.
const ENDPOINT_SPREAD: usize = 4;

/// Starts the engine of a configuration, with what was known at the start, for a process that may hold all descriptors
/// that the configuration names. The signed URL front may bring `signed_connections` connections of clients.
pub fn engine(
    config: &Config,
    clock: &Clock,
    signed_connections: usize,
) -> Result<(Engine, Rc<PlatformSettings>), ServeError> {
    let demand = DescriptorDemand {
        signed_url_clients: signed_connections,
        handed_over: config.handed_over,
        ..DescriptorDemand::default()
    };
    let budget = DescriptorBudget::new(Descriptors::expected(config.limits.max_descriptors), demand);
    engine_within(config, clock, signed_connections, budget)
}

/// Starts the engine of a configuration within a budget of descriptors.
pub fn engine_within(
    config: &Config,
    clock: &Clock,
    signed_connections: usize,
    budget: DescriptorBudget,
) -> Result<(Engine, Rc<PlatformSettings>), ServeError> {
    let settings = Rc::new(config.settings.clone());
    let seed = config.seed().map_err(ServeError::field("seed"))?;
    let max_descriptors = config.limits.max_descriptors;
    let connections = ConnectionLimits {
        total: budget.endpoints,
        per_endpoint: (max_descriptors / DESCRIPTORS_PER_ENDPOINT_CONNECTION)
            .clamp(MIN_ENDPOINT_CONNECTIONS, MAX_ENDPOINT_CONNECTIONS),
        spread_above: ENDPOINT_SPREAD,
        streams: settings.streams_per_connection(),
    };
    let bounds = EngineLimits { requests: max_descriptors * 2 / 5 + signed_connections, connections };
    let mut engine = Engine::new(clock.clone(), settings.clone(), seed, bounds);
    for event in config.initial_state.events().map_err(ServeError::field("known"))? {
        engine.apply_event(event);
    }
    engine.skip_events_to(config.initial_state.last_number);
    Ok((engine, settings))
}
