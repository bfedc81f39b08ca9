//! Compiles the configured routes into the routing table and each pool's request classes. No I/O.

use super::pool::PoolSpec;
use super::pool_config::PoolConfig;
use super::route_config::{IdempotencyConfig, RouteConfig};
use super::routes::{Affinity, MethodKind, PatternError, Route, Routes};
use super::status::Code;
use crate::clock::micros_from_ms;
use crate::{Idempotency, KeyScope, PolicySettings, RequestClass, SlowStart};
use http::HeaderName;
use std::rc::Rc;
use thiserror::Error;

/// Largest value of `deadline_ms`, and the deadline of the request class of a route without one, in
/// milliseconds.
const MAX_DEADLINE_MS: f64 = 86_400_000.0;

/// An invalid route.
#[derive(Debug, Error)]
pub enum RouteError {
    /// A field is invalid.
    #[error("{method:?}: {fault}")]
    Fault {
        /// The route's pattern.
        method: String,
        /// What is wrong.
        #[source]
        fault: RouteFault,
    },
    /// The pattern is invalid.
    #[error(transparent)]
    Pattern(#[from] PatternError),
}

/// What is wrong with a route.
#[derive(Debug, Error)]
pub enum RouteFault {
    /// No pool has this name.
    #[error("there is no pool named {0:?}")]
    UnknownPool(String),
    /// The deadline is out of range.
    #[error("`deadline_ms` must be between 1 and 86,400,000")]
    Deadline,
    /// A unary method has no deadline.
    #[error("a unary method requires `deadline_ms`")]
    MissingDeadline,
    /// The latency objective is out of range.
    #[error("`aim_ms` must be between 1 and the deadline")]
    LatencyObjective,
    /// A header name is invalid.
    #[error("`key` or `affinity` contains an invalid header name")]
    HeaderName,
    /// A `keyed` method lacks `key` or a positive `key_window_ms`, or another method has `key`.
    #[error(
        "`keyed` methods require `key` and a `key_window_ms` above 0; `key` is not allowed for other methods"
    )]
    Key,
    /// A status name in `retry` is unknown, or OK.
    #[error("`retry` must list names of status codes other than OK")]
    Retry,
    /// The affinity is unknown.
    #[error("`affinity` must be `call`, `method` or `header:NAME`")]
    Affinity,
}

/// Compiles the routes and the policy settings of the pools.
pub fn compile(pools: &[PoolConfig], configs: &[RouteConfig]) -> Result<(Routes, Vec<PoolSpec>), RouteError> {
    let mut routes = Routes::default();
    let mut classes: Vec<Vec<Rc<RequestClass>>> = vec![Vec::new(); pools.len()];
    for (number, config) in (0..).zip(configs) {
        let fault = |fault| RouteError::Fault { method: config.method.clone(), fault };
        let pool = pools.iter().position(|pool| pool.name == config.pool);
        let pool = pool.ok_or_else(|| fault(RouteFault::UnknownPool(config.pool.clone())))?;
        let deadline_ms = checked_deadline_ms(config).map_err(fault)?;
        let (idempotency, key_header) = idempotency(config).map_err(fault)?;
        let class = Rc::new(request_class(config, deadline_ms, idempotency));
        let route = Route {
            pool,
            class: class.clone(),
            tenant: number,
            kind: config.kind,
            idempotency,
            key_header,
            deadline_ms: config.deadline_ms,
            retry: retried_codes(config).map_err(fault)?,
            affinity: affinity(config).map_err(fault)?,
        };
        classes[pool].push(class);
        routes.add(&config.method, route)?;
    }
    let specs = pools.iter().zip(classes).map(|(pool, classes)| PoolSpec {
        name: pool.name.clone(),
        settings: policy_settings(pool, classes),
    });
    Ok((routes, specs.collect()))
}

/// The idempotency of a route's methods, and the header with the idempotency key.
fn idempotency(config: &RouteConfig) -> Result<(Idempotency, Option<String>), RouteFault> {
    match (config.idempotency, &config.key) {
        (IdempotencyConfig::Safe, None) => Ok((Idempotency::Idempotent, None)),
        (IdempotencyConfig::Never, None) => Ok((Idempotency::NotIdempotent, None)),
        (IdempotencyConfig::Keyed, Some(name)) if config.key_window_ms > 0.0 => {
            Ok((Idempotency::WithKey, Some(header_name(name)?)))
        }
        _ => Err(RouteFault::Key),
    }
}

/// Parses a header name and converts it to lower case.
fn header_name(name: &str) -> Result<String, RouteFault> {
    let name = HeaderName::from_bytes(name.as_bytes()).map_err(|_| RouteFault::HeaderName)?;
    Ok(name.as_str().to_string())
}

/// The status codes after which a route's methods are retried.
fn retried_codes(config: &RouteConfig) -> Result<Vec<Code>, RouteFault> {
    let codes: Option<Vec<Code>> = config.retry.iter().map(|name| Code::from_name(name)).collect();
    codes.filter(|codes| !codes.contains(&Code::OK)).ok_or(RouteFault::Retry)
}

/// The affinity of a route's methods.
fn affinity(config: &RouteConfig) -> Result<Affinity, RouteFault> {
    match config.affinity.split_once(':') {
        None if config.affinity == "call" => Ok(Affinity::Call),
        None if config.affinity == "method" => Ok(Affinity::Method),
        Some(("header", name)) => Ok(Affinity::Header(header_name(name)?)),
        _ => Err(RouteFault::Affinity),
    }
}

/// Checks a route's times, and returns the deadline of its request class.
fn checked_deadline_ms(config: &RouteConfig) -> Result<f64, RouteFault> {
    let deadline_ms = config.deadline_ms.unwrap_or(MAX_DEADLINE_MS);
    if !(1.0..=MAX_DEADLINE_MS).contains(&deadline_ms) {
        return Err(RouteFault::Deadline);
    }
    if config.kind == MethodKind::Unary && config.deadline_ms.is_none() {
        return Err(RouteFault::MissingDeadline);
    }
    if !(1.0..=deadline_ms).contains(&config.latency_objective_ms) {
        return Err(RouteFault::LatencyObjective);
    }
    Ok(deadline_ms)
}

fn request_class(config: &RouteConfig, deadline_ms: f64, idempotency: Idempotency) -> RequestClass {
    RequestClass {
        latency_objective: micros_from_ms(config.latency_objective_ms),
        latency_stretch: 0.0,
        deadline: micros_from_ms(deadline_ms),
        idempotency,
        key_scope: KeyScope::All,
        key_window: micros_from_ms(config.key_window_ms),
        priority_weight: 1.0,
        fresh_lifetime: 0,
        stale_while_revalidate: 0,
        uncacheable: true,
    }
}

/// The policy settings of a pool: this proxy may use the backends' whole capacity, there is no slow start,
/// and nothing is cached.
fn policy_settings(pool: &PoolConfig, classes: Vec<Rc<RequestClass>>) -> PolicySettings {
    let no_slow_start =
        SlowStart { initial_capacity: 1.0, ramp_duration: 0, overload_multiple: 1.0, overload_window: 0 };
    PolicySettings {
        classes,
        fleet_size: 1,
        local_fleet_size: 1,
        client_kb_per_s: 0.0,
        weights_are_capacities: pool.backends.iter().any(|backend| backend.weight.is_some()),
        can_join_fills: false,
        can_bypass_caches: false,
        reports_cache_status: false,
        purge_completion: 0,
        max_attempts: pool.attempts,
        can_cancel: true,
        can_check_health: false,
        max_retry_after: micros_from_ms(pool.max_retry_after_ms),
        watch_endpoints: false,
        cache_slow_start: no_slow_start,
        parent_slow_start: no_slow_start,
    }
}

#[cfg(test)]
mod tests;
