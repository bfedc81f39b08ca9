use super::*;

fn route(tenant: u32) -> Route {
    Route {
        pool: 0,
        class: Rc::default(),
        tenant,
        kind: MethodKind::Unary,
        idempotency: Idempotency::Idempotent,
        key_header: None,
        deadline_ms: None,
        retry: Vec::new(),
        affinity: Affinity::Call,
    }
}

#[test]
fn the_most_specific_route_is_found() {
    let mut routes = Routes::default();
    for (tenant, pattern) in (0..).zip(["/ads.v1.Ads/Post", "/ads.v1.Ads/*", "*"]) {
        routes.add(pattern, route(tenant)).unwrap();
    }
    fn tenant(routes: &Routes, path: &str) -> Option<u32> {
        routes.find(path).map(|route| route.tenant)
    }
    assert_eq!(tenant(&routes, "/ads.v1.Ads/Post"), Some(0));
    assert_eq!(tenant(&routes, "/ads.v1.Ads/Get"), Some(1));
    assert_eq!(tenant(&routes, "/ads.v1.Adsy/Get"), Some(2));
    for bad in ["", "/", "/a", "a/b", "/a/", "//b", "/a/b/c", "/a/b?x", "/a b/c", "/a/*"] {
        assert_eq!(tenant(&routes, bad), None, "{bad:?}");
    }
    for duplicate in ["*", "/ads.v1.Ads/*", "/ads.v1.Ads/Post"] {
        assert_eq!(routes.add(duplicate, route(9)), Err(PatternError::Duplicate(duplicate.into())));
    }
    assert_eq!(tenant(&routes, "/ads.v1.Adsy/Get"), Some(2), "the first route stays");
    for bad in ["", "/*", "a/*", "/a/b/*", "**", "/a/b*"] {
        assert_eq!(routes.add(bad, route(9)), Err(PatternError::Syntax(bad.into())), "{bad:?}");
    }
    assert_eq!(routes.routes().len(), 3, "an invalid route is not added");
}

#[test]
fn the_affinity_hash_is_the_start_of_the_sha_256_digest() {
    assert_eq!(affinity_hash_of(b""), 0xe3b0_c442_98fc_1c14, "the first bytes of SHA-256");
    assert_ne!(affinity_hash_of(b"a"), affinity_hash_of(b"b"));
}
