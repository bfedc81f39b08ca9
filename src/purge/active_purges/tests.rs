use super::*;
use crate::purge::selector::copy_name;

fn purge(seq: u64, issued_ms: f64, sel: &str) -> Purge {
    Purge { seq, issued_ms, sel: sel.parse().unwrap() }
}

fn copy<'a>(name: &'a str, tags: &'a [Tag]) -> Copy<'a> {
    let object = u64::from_str_radix(name.split('/').nth(2).unwrap(), 16).unwrap();
    Copy { name, object, group: 3, tags }
}

#[test]
fn the_newest_covering_purge_decides_and_newer_copies_stay() {
    let mut ledger = Ledger::new(LedgerBounds::default());
    let name = copy_name("video-part", 0x7f3a, 2);
    let tags = [Tag::new("seller-77").unwrap()];
    assert_eq!(ledger.apply(&purge(1, 1_000.0, "tag:seller-77")), Applied::New);
    assert_eq!(ledger.apply(&purge(2, 2_000.0, "pattern:/video-part/*/2")), Applied::New);
    let c = copy(&name, &tags);
    assert_eq!(ledger.newest(&c).map(|m| m.seq), Some(2));
    assert!(ledger.purges(&c, 1_500.0).is_some());
    assert!(ledger.purges(&c, 2_000.0).is_some(), "a copy given out at the very moment goes too");
    assert!(ledger.purges(&c, 2_001.0).is_none(), "a copy newer than every purge stays");
    assert_eq!(ledger.age_bound_ms(3_000.0, &c), Some(990));
    let other = copy_name("small-object", 0x7f3a, 2);
    assert!(ledger.newest(&copy(&other, &[])).is_none());
}

#[test]
fn purges_apply_in_order_only() {
    let mut ledger = Ledger::new(LedgerBounds::default());
    assert_eq!(ledger.apply(&purge(2, 1.0, "group:1")), Applied::Gap { expected: 1 });
    assert_eq!(ledger.apply(&purge(1, 1.0, "group:1")), Applied::New);
    assert_eq!(ledger.apply(&purge(1, 1.0, "group:1")), Applied::Held);
    assert_eq!(ledger.applied(), 1);
}

#[test]
fn retiring_keeps_a_newer_purge_of_the_same_key() {
    let bounds = LedgerBounds { most: 10, hold_ms: 100.0 };
    let mut ledger = Ledger::new(bounds);
    ledger.apply(&purge(1, 1_000.0, "object:0000000000007f3a"));
    ledger.apply(&purge(2, 1_050.0, "object:0000000000007f3a"));
    let name = copy_name("video-part", 0x7f3a, 0);
    ledger.retire(1, 1_120.0);
    assert_eq!(ledger.newest(&copy(&name, &[])).map(|m| m.seq), Some(2));
    ledger.retire(2, 1_140.0);
    assert_eq!(ledger.held(), 1, "held for its time after issue");
    ledger.retire(2, 1_150.0);
    assert!(ledger.newest(&copy(&name, &[])).is_none());
}

#[test]
fn beyond_its_bound_the_oldest_fold_into_a_floor_that_over_purges() {
    let mut ledger = Ledger::new(LedgerBounds { most: 2, hold_ms: 0.0 });
    for seq in 1..=3 {
        ledger.apply(&purge(seq, seq as f64 * 10.0, &format!("tag:t{seq}")));
    }
    assert_eq!((ledger.held(), ledger.folded()), (2, 1));
    let name = copy_name("video-part", 1, 0);
    let untagged = copy(&name, &[]);
    assert!(ledger.purges(&untagged, 10.0).is_some(), "the floor covers every copy");
    assert!(ledger.purges(&untagged, 11.0).is_none());
}
