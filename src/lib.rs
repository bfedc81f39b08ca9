//! Calicobeam decides for a request router that stands before tiers of caches with one origin behind them.
//!
//! It is sans-I/O: the host owns clock, threads and network. It makes a [`Router`] from [`Settings`] and a
//! seed, hands it each [`Event`] with the time, and carries out the [`Action`]s that it gets back, in order.
//! The same events at the same times with the same seed give the same actions.
//!
//! The host owes the router: one [`Event::Outcome`] for each [`Action::Send`], one [`Event::Probed`] for each
//! [`Action::Probe`] and one [`Event::Timer`] for each [`Action::Timer`]; time that never runs
//! backwards; attempts numbered from 0 for each request in the order sent; and no event of a request after a
//! restart. Every request gets one [`Action::Refuse`] or [`Action::Fail`], or is concluded by an outcome
//! with `closed` set or by [`Event::Left`].
//!
//! ```
//! use edge_proxy::*;
//! # fn settings() -> Settings {
//! #     let cold = ColdStart { floor: 0.2, ramp: 15_000_000, multiple: 3.0, window: 2_000_000 };
//! #     Settings {
//! #         classes: vec![Class {
//! #             aim: 400_000, aim_stretch: 2.0, deadline: 2_500_000, repeat: Repeat::Safe,
//! #             key_scope: KeyScope::All, key_window: 0, worth: 1.0,
//! #             fresh_for: 0, stale_for: 0, uncacheable: false,
//! #         }],
//! #         routers: 1, routers_here: 1, flow_kb_per_s: 5_000.0, weights_known: true,
//! #         joins: true, bypass: true, hit_notes: false,
//! #         purge_done: 6_000_000, max_attempts: 6,
//! #         cancelling: true, probing: false, max_wait_hint: 500_000, subscribe: false,
//! #         cache_cold: cold, parent_cold: cold,
//! #     }
//! # }
//! # fn listing(id: u32, role: Role) -> Listing {
//! #     Listing { id, role, life: Life::Live, started: 0, weight: 5.0, zone: 0, cell: 0 }
//! # }
//! let mut router = Router::new(settings(), 7);
//! let mut actions = Vec::new();
//! let entries = vec![
//!     listing(1, Role::Cache), listing(2, Role::Cache), listing(8, Role::Parent), listing(9, Role::Origin),
//! ];
//! router.handle(0, &Event::Members { full: true, entries }, &mut actions);
//!
//! let request = Event::Request {
//!     id: 1, class: 0, object: 42, group: 0, part: 0, size_kb: 100.0, give_up_at: 2_500_000,
//! };
//! router.handle(1_000, &request, &mut actions);
//! let sent = actions.iter().find_map(|action| match action {
//!     Action::Send { id: 1, to, source: Some(8), .. } => Some(*to),
//!     _ => None,
//! });
//! let first = sent.expect("an attempt, filled from the parent");
//!
//! // The cache's machine is down: the host reports it, and the router tries the other cache at once.
//! actions.clear();
//! let outcome = Event::Outcome {
//!     id: 1, attempt: 0, verdict: Verdict::NoConnection, note: Note::Silent, took: 2_000, closed: false,
//! };
//! router.handle(3_000, &outcome, &mut actions);
//! assert!(matches!(actions[0], Action::Send { id: 1, to, .. } if to != first));
//! ```

pub mod admission;
pub mod clock;
pub mod engine;
pub mod grpc;
pub mod health_check;
pub mod http3;
mod interface;
pub mod lifecycle;
pub mod message_auth;
mod policy;
pub mod purge;
pub mod registry;
pub mod rules;
pub mod settings;
pub mod state;
mod stats;
pub mod vrrp;
pub mod wire;

pub use interface::*;
pub use policy::Router;
