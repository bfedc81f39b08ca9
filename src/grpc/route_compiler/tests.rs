use super::*;

/// Guards against routes of different pools that are one tenant for admission control.
#[test]
fn each_route_is_a_tenant_of_its_own_over_all_pools() {
    let pools = r#"[{"name":"p","backends":[{"address":"127.0.0.1:1"}]},
        {"name":"q","backends":[{"address":"127.0.0.1:2"}]}]"#;
    let routes =
        r#"[{"method":"/t.A/*","pool":"p"},{"method":"/t.B/*","pool":"q"},{"method":"/t.C/*","pool":"p"}]"#;
    let pools: Vec<PoolConfig> = serde_json::from_str(pools).expect("the pools are valid");
    let routes: Vec<RouteConfig> = serde_json::from_str(routes).expect("the routes are valid");
    let (routes, _) = compile(&pools, &routes).expect("the routes compile");
    let tenants: Vec<u32> = routes.routes().iter().map(|route| route.tenant).collect();
    assert_eq!(tenants, [0, 1, 2]);
}
