//! Tests of a pool in which the policy's decision about one call panics.

use super::*;
use crate::grpc::pool_config::PoolConfig;
use crate::grpc::route_compiler::compile;
use crate::grpc::route_config::RouteConfig;
use crate::{AttemptOutcome, CacheStatus, RequestClass};
use std::rc::Rc;

/// A pool with two backends and one route, with the route's class.
fn pool() -> (Pool, Rc<RequestClass>) {
    let pools = r#"[{"name":"p","backends":[{"address":"127.0.0.1:1"},{"address":"127.0.0.1:2"}]}]"#;
    let routes = r#"[{"method":"/t.Safe/*","pool":"p","kind":"unary","repeat":"safe","deadline_ms":2000,
        "aim_ms":200}]"#;
    let pools: Vec<PoolConfig> = serde_json::from_str(pools).expect("the pools are valid");
    let routes: Vec<RouteConfig> = serde_json::from_str(routes).expect("the routes are valid");
    let (routes, mut specs) = compile(&pools, &routes).expect("the routes compile");
    let mut pool = Pool::new(specs.remove(0), 7);
    pool.set_backends(0.0, &pools[0].listed_backends());
    (pool, routes.routes()[0].class.clone())
}

fn begin(pool: &mut Pool, class: &Rc<RequestClass>, id: u64) -> Option<Decision> {
    let event = Event::Request {
        id,
        class: class.clone(),
        object: id,
        group: 0,
        part: 0,
        size_kb: 0.0,
        deadline_at: 2_000_000,
        repeatable_until: Micros::MAX,
    };
    pool.decide(1.0, id, &event)
}

fn fail_attempt(pool: &mut Pool, id: u64) -> Option<Decision> {
    let event = Event::AttemptEnded {
        id,
        attempt: 0,
        outcome: AttemptOutcome::NoConnection,
        cache_status: CacheStatus::Unknown,
        elapsed: 1_000,
        closed: false,
    };
    pool.decide(2.0, id, &event)
}

/// Guards against a panic of the policy that takes other calls with it.
#[test]
fn a_panic_of_the_policy_fails_its_call_alone() {
    let (mut pool, class) = pool();
    for id in [1, 2] {
        assert!(matches!(begin(&mut pool, &class, id), Some(Decision::Forward(_))));
    }
    pool.router.corrupt_request(1);
    assert_eq!(fail_attempt(&mut pool, 1), Some(Decision::Fail));
    assert!(matches!(fail_attempt(&mut pool, 2), Some(Decision::Forward(_))));
    assert_eq!(pool.counters.panics, 1);
}
