//! An edge proxy that routes requests to tiers of caches in front of one origin.
//!
//! The decision module, [`Router`], chooses caches, fill sources, timeouts, retries and rejections. It does
//! no I/O: its host owns the clock, threads and network. The host creates a [`Router`] from
//! [`PolicySettings`] and a seed, passes it each [`Event`] with the current time, and executes the returned
//! [`Action`]s in order. The router is deterministic: the same events at the same times with the same seed
//! give the same actions. In the proxy, the [`engine`] is the host; the simulator adapter is another.
//!
//! The host must
//!
//! - pass one [`Event::AttemptEnded`] for each [`Action::Forward`], one [`Event::HealthChecked`] for each
//!   [`Action::CheckHealth`] and one [`Event::Timer`] for each [`Action::SetTimer`];
//! - pass monotonic times;
//! - number the attempts of each request from 0 in sending order;
//! - drop events of requests from before a restart.
//!
//! Every request gets exactly one [`Action::Reject`] or [`Action::Fail`], unless an [`Event::AttemptEnded`]
//! with `closed` set or an [`Event::ClientDisconnected`] ends it.
//!
//! ```
//! use edge_proxy::*;
//! # fn settings() -> PolicySettings {
//! #     let cold = SlowStart { initial_capacity: 0.2, ramp_duration: 15_000_000, overload_multiple: 3.0, overload_window: 2_000_000 };
//! #     PolicySettings {
//! #         classes: vec![std::rc::Rc::new(RequestClass {
//! #             latency_objective: 400_000, latency_stretch: 2.0, deadline: 2_500_000, idempotency: Idempotency::Idempotent,
//! #             key_scope: KeyScope::All, key_window: 0, priority_weight: 1.0,
//! #             fresh_lifetime: 0, stale_while_revalidate: 0, uncacheable: false,
//! #         })],
//! #         fleet_size: 1, local_fleet_size: 1, client_kb_per_s: 5_000.0, weights_are_capacities: true,
//! #         can_join_fills: true, can_bypass_caches: true, reports_cache_status: false,
//! #         purge_completion: 6_000_000, max_attempts: 6,
//! #         can_cancel: true, can_check_health: false, max_retry_after: 500_000, watch_endpoints: false,
//! #         cache_slow_start: cold, parent_slow_start: cold,
//! #     }
//! # }
//! # fn endpoint(id: u32, tier: Tier) -> Endpoint {
//! #     Endpoint { id, tier, state: EndpointState::Active, started_at: 0, weight: 5.0, zone: 0, cell: 0 }
//! # }
//! let settings = settings();
//! let class = settings.classes[0].clone();
//! let mut router = Router::new(settings, 7);
//! let mut actions = Vec::new();
//! let entries = vec![
//!     endpoint(1, Tier::Cache), endpoint(2, Tier::Cache), endpoint(8, Tier::Parent), endpoint(9, Tier::Origin),
//! ];
//! router.handle(0, &Event::EndpointsChanged { full: true, entries }, &mut actions);
//!
//! let request = Event::Request {
//!     id: 1, class, object: 42, group: 0, part: 0, size_kb: 100.0, deadline_at: 2_500_000,
//!     repeatable_until: Micros::MAX,
//! };
//! router.handle(1_000, &request, &mut actions);
//! let sent = actions.iter().find_map(|action| match action {
//!     Action::Forward { id: 1, to, source: Some(8), .. } => Some(*to),
//!     _ => None,
//! });
//! let first = sent.expect("an attempt, filled from the parent");
//!
//! // The cache is unreachable: the router sends the next attempt to the other cache.
//! actions.clear();
//! let outcome = Event::AttemptEnded {
//!     id: 1, attempt: 0, outcome: AttemptOutcome::NoConnection, cache_status: CacheStatus::Unknown, elapsed: 2_000, closed: false,
//! };
//! router.handle(3_000, &outcome, &mut actions);
//! assert!(matches!(actions[0], Action::Forward { id: 1, to, .. } if to != first));
//! ```

#![cfg_attr(not(test), warn(clippy::too_many_lines, clippy::cognitive_complexity))]
#![cfg_attr(not(test), warn(clippy::unwrap_used))]

pub mod admission;
pub mod backoff;
pub mod cache_message;
pub mod clock;
pub mod config_file;
pub mod datagram_auth;
pub mod endpoint_list;
pub mod engine;
pub mod grpc;
pub mod health_check;
pub mod http3;
pub mod http_client;
mod interface;
pub mod lifecycle;
pub mod lock_file;
pub mod message_auth;
pub mod panics;
mod policy;
pub mod purge;
pub mod registry;
pub mod response_path;
pub mod rules;
pub mod settings;
pub mod state;
mod stats;
pub mod surrogate_key;
pub mod text;
pub mod vrrp;
pub mod wire;

pub use interface::*;
pub use policy::Router;
