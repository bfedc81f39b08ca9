use super::*;
use crate::purge::selector::copy_name;
use crate::surrogate_key::SurrogateKey;

fn purge(seq: u64, issued_ms: f64, selector: &str) -> Purge {
    Purge { seq, issued_ms, selector: selector.parse().unwrap() }
}

fn copy<'a>(name: &'a str, surrogate_keys: &'a [SurrogateKey]) -> CachedCopy<'a> {
    let object = u64::from_str_radix(name.split('/').nth(2).unwrap(), 16).unwrap();
    CachedCopy { name, object, group: 3, surrogate_keys }
}

#[test]
fn the_newest_covering_purge_removes_a_copy_unless_the_copy_is_newer() {
    let mut active = ActivePurges::new(RetentionLimits::default());
    let name = copy_name("video-part", 0x7f3a, 2);
    let keys = [SurrogateKey::new("seller-77").unwrap()];
    assert_eq!(active.apply(&purge(1, 1_000.0, "tag:seller-77")), ApplyOutcome::Applied);
    assert_eq!(active.apply(&purge(2, 2_000.0, "pattern:/video-part/*/2")), ApplyOutcome::Applied);
    let tagged_copy = copy(&name, &keys);
    assert_eq!(active.newest_covering(&tagged_copy).map(|stamp| stamp.seq), Some(2));
    assert!(active.removing_purge(&tagged_copy, 1_500.0).is_some());
    assert!(
        active.removing_purge(&tagged_copy, 2_000.0).is_some(),
        "a copy generated at the purge's issue time is removed"
    );
    assert!(active.removing_purge(&tagged_copy, 2_001.0).is_none(), "a copy newer than every purge remains");
    assert_eq!(active.max_age_ms(3_000.0, &tagged_copy), Some(990));
    let other = copy_name("small-object", 0x7f3a, 2);
    assert!(active.newest_covering(&copy(&other, &[])).is_none());
}

#[test]
fn purges_apply_in_order_only() {
    let mut active = ActivePurges::new(RetentionLimits::default());
    assert_eq!(active.apply(&purge(2, 1.0, "group:1")), ApplyOutcome::Gap { expected: 1 });
    assert_eq!(active.apply(&purge(1, 1.0, "group:1")), ApplyOutcome::Applied);
    assert_eq!(active.apply(&purge(1, 1.0, "group:1")), ApplyOutcome::Duplicate);
    assert_eq!(active.last_applied(), 1);
}

#[test]
fn dropping_a_purge_retains_a_newer_one_with_the_same_selector() {
    let limits = RetentionLimits { max_active: 10, min_retention_ms: 100.0 };
    let mut active = ActivePurges::new(limits);
    active.apply(&purge(1, 1_000.0, "object:0000000000007f3a"));
    active.apply(&purge(2, 1_050.0, "object:0000000000007f3a"));
    let name = copy_name("video-part", 0x7f3a, 0);
    active.advance_low_water_mark(1, 1_120.0);
    assert_eq!(active.newest_covering(&copy(&name, &[])).map(|stamp| stamp.seq), Some(2));
    active.advance_low_water_mark(2, 1_140.0);
    assert_eq!(active.len(), 1, "retained for `min_retention_ms` after its issue");
    active.advance_low_water_mark(2, 1_150.0);
    assert!(active.newest_covering(&copy(&name, &[])).is_none());
}

#[test]
fn purges_beyond_max_active_are_merged_into_a_cutoff_that_covers_every_copy() {
    let mut active = ActivePurges::new(RetentionLimits { max_active: 2, min_retention_ms: 0.0 });
    for seq in 1..=3 {
        active.apply(&purge(seq, seq as f64 * 10.0, &format!("tag:t{seq}")));
    }
    assert_eq!((active.len(), active.merged()), (2, 1));
    let name = copy_name("video-part", 1, 0);
    let untagged = copy(&name, &[]);
    assert!(active.removing_purge(&untagged, 10.0).is_some(), "the cutoff covers every copy");
    assert!(active.removing_purge(&untagged, 11.0).is_none());
}
