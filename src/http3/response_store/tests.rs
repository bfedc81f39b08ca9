use super::*;
use bytes::Bytes;
use proptest::prelude::*;

fn bounds() -> ShelfBounds {
    ShelfBounds {
        calls: 6,
        per_session: 4,
        bytes: 6_000,
        linger_ms: 1_000.0,
        keep_read_ms: 2_000.0,
        keep_write_ms: 9_000.0,
    }
}

fn served(n: usize) -> FinalResponse {
    FinalResponse::Served { tag: Some("t".into()), body: Bytes::from(vec![1; n]) }
}

#[test]
fn a_write_is_taken_once_however_often_it_is_asked() {
    let mut shelf = ResponseStore::new(bounds());
    let key = (7, 1);
    assert_eq!(shelf.claim(0.0, key, 5, true), Claim::New);
    shelf.lost(10.0, key);
    assert!(shelf.tick(500_000.0).is_empty(), "a write runs to its end");
    assert_eq!(shelf.claim(20.0, key, 5, true), Claim::Joined);
    assert_eq!(shelf.claim(20.0, key, 6, true), Claim::Conflict, "another request under its id");
    assert!(!shelf.cancelled(25.0, key), "nor is it called off");
    shelf.finished(30.0, key, &served(3));
    assert_eq!(shelf.claim(9_029.0, key, 5, true), Claim::Done(served(3)));
    assert_eq!(shelf.claim(9_030.0, key, 5, true), Claim::New, "past its time");
    // A failed write may have run: asked again, it is the same end.
    shelf.finished(9_040.0, key, &FinalResponse::Failed { overdue: false });
    assert_eq!(shelf.claim(9_050.0, key, 5, true), Claim::Done(FinalResponse::Failed { overdue: false }));
    // One whose answer is too large for the shelf is not taken for new either.
    shelf.claim(9_045.0, (7, 3), 5, true);
    shelf.finished(9_046.0, (7, 3), &served(7_000));
    assert_eq!(shelf.claim(9_047.0, (7, 3), 5, true), Claim::Done(FinalResponse::Failed { overdue: false }));
    // A refused one did not.
    assert_eq!(shelf.claim(9_050.0, (7, 2), 5, true), Claim::New);
    shelf.finished(9_060.0, (7, 2), &FinalResponse::Rejected { retry_after_ms: 1.0, overdue: false });
    assert_eq!(shelf.claim(9_070.0, (7, 2), 5, true), Claim::New);
    assert_eq!(shelf.claim(9_070.0, (8, 2), 5, true), Claim::New, "another session's call is another");
}

#[test]
fn a_read_without_a_client_runs_on_for_a_while() {
    let mut shelf = ResponseStore::new(bounds());
    shelf.claim(0.0, (7, 1), 5, false);
    shelf.lost(100.0, (7, 1));
    assert_eq!((shelf.next_due(), shelf.tick(1_099.0)), (1_100.0, vec![]));
    assert_eq!(shelf.claim(1_099.0, (7, 1), 5, false), Claim::Joined);
    assert_eq!(shelf.tick(5_000.0), vec![], "its client is back");
    shelf.lost(5_000.0, (7, 1));
    assert_eq!(shelf.tick(6_000.0), vec![(7, 1)]);
    assert!(shelf.is_empty());
    shelf.claim(7_000.0, (7, 2), 5, false);
    assert!(shelf.cancelled(7_000.0, (7, 2)) && shelf.is_empty(), "an explicit word calls it off at once");
    shelf.claim(7_000.0, (7, 3), 5, false);
    shelf.claim(7_000.0, (7, 3), 5, false);
    assert!(!shelf.cancelled(7_000.0, (7, 3)), "another connection still waits for it");
}

#[test]
fn room_is_made_of_answers_reads_first_and_never_of_running_calls() {
    let mut shelf = ResponseStore::new(bounds());
    for id in 0..3 {
        assert_eq!(shelf.claim(0.0, (1, id), 0, id == 0), Claim::New);
        shelf.finished(f64::from(id as u32), (1, id), &served(1_000));
    }
    for id in 3..6 {
        assert_eq!(shelf.claim(10.0, (2, id), 0, false), Claim::New);
    }
    assert_eq!(shelf.claim(11.0, (3, 9), 0, false), Claim::New, "the oldest read's answer made room");
    assert_eq!(shelf.claim(11.0, (1, 1), 0, false), Claim::New, "it is gone, and made the next one go");
    assert_eq!(shelf.claim(11.0, (4, 9), 0, false), Claim::New, "now the write's");
    assert_eq!(shelf.claim(11.0, (5, 9), 0, false), Claim::Full, "running calls stay");
    assert_eq!(shelf.figures.evicted, [2, 1]);
    for id in 0..4 {
        shelf.claim(12.0, (2, 100 + id), 0, false);
    }
    assert_eq!(shelf.len(), 6);
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    /// Whatever comes, the bounds hold, each call is taken once while it is held, and nothing stays behind.
    #[test]
    fn the_bounds_hold(steps in prop::collection::vec((0u8..6, 0u64..12, 0f64..400.0, 0usize..2_500), 1..300)) {
        let bounds = bounds();
        let mut shelf = ResponseStore::new(bounds);
        let (mut now, mut running) = (0.0, HashMap::<Key, u32>::new());
        for (kind, id, ms, bytes) in steps {
            now += ms;
            let key = (u128::from(id % 3), id);
            let write = id % 2 == 0;
            match kind {
                0 | 1 => match shelf.claim(now, key, id, write) {
                    Claim::New => prop_assert!(running.insert(key, 1).is_none(), "taken twice"),
                    Claim::Joined => *running.get_mut(&key).unwrap() += 1,
                    Claim::Done(_) => prop_assert!(!running.contains_key(&key)),
                    Claim::Conflict => prop_assert!(false, "the digest is the id's"),
                    Claim::Full => {}
                },
                2 => if running.get(&key).is_some_and(|n| *n > 0) {
                    *running.get_mut(&key).unwrap() -= 1;
                    shelf.lost(now, key);
                },
                3 => if running.remove(&key).is_some() {
                    shelf.finished(now, key, &served(bytes));
                },
                4 => if running.get(&key).is_some_and(|n| *n > 0) {
                    *running.get_mut(&key).unwrap() -= 1;
                    if shelf.cancelled(now, key) {
                        prop_assert!(!write);
                        running.remove(&key);
                    }
                },
                _ => for off in shelf.tick(now) {
                    prop_assert_eq!(running.remove(&off), Some(0), "called off with a client");
                    prop_assert!(off.1 % 2 == 1, "a write was called off");
                },
            }
            prop_assert!(shelf.len() <= bounds.calls && shelf.bytes() <= bounds.bytes);
            prop_assert!(running.keys().all(|k| shelf.entries.contains_key(k)), "a running call was dropped");
        }
        for key in running.into_keys() {
            shelf.finished(now, key, &FinalResponse::Rejected { retry_after_ms: 0.0, overdue: false });
        }
        shelf.tick(now + 1e6);
        prop_assert_eq!((shelf.len(), shelf.bytes(), shelf.sessions.len()), (0, 0, 0));
        prop_assert!(shelf.done.is_empty() && shelf.lost.is_empty());
    }
}
