use super::*;
use crate::purge::active_purges::Purge;

fn requested_part(part: u32) -> RequestedCopy<'static> {
    RequestedCopy { class: "video-part", object: 5, part, group: 0 }
}

#[test]
fn a_surrogate_key_in_a_reply_limits_the_age_of_the_next_attempt() {
    let mut limiter = AgeLimiter::new(RetentionLimits::default(), 2);
    let keys = [SurrogateKey::new("seller-9").unwrap()];
    limiter.active.apply(&Purge { seq: 1, issued_ms: 1_000.0, selector: "tag:seller-9".parse().unwrap() });
    assert_eq!(
        limiter.max_age_ms(2_000.0, requested_part(0), 0),
        0,
        "no reply has been seen, so no surrogate keys are cached"
    );
    assert!(limiter.check_reply(requested_part(0), Some(900.0), &keys).is_some());
    assert_eq!(limiter.max_age_ms(2_000.0, requested_part(1), 0), 990);
    assert_eq!(
        limiter.max_age_ms(2_000.0, requested_part(1), 500),
        500,
        "a purge must not raise a requested limit"
    );
    assert!(limiter.check_reply(requested_part(1), Some(1_001.0), &keys).is_none());
    assert!(
        limiter.check_reply(requested_part(1), None, &keys).is_none(),
        "a copy without a generation time is accepted"
    );
    assert_eq!(limiter.metrics, AgeLimitMetrics { limited_attempts: 1, purged_replies: 1 });
}
