//! Tests of the bounded table of reservations.

use super::*;

fn reserve(table: &mut ReservationTable, now_ms: f64, client: ClientKey, earliest_ms: f64) -> Option<f64> {
    let request = ReservationRequest {
        client,
        earliest_ms,
        slot_capacity: 8,
        min_retry_after_ms: 100.0,
        max_retry_after_ms: 10_000.0,
    };
    table.reserve(now_ms, request)
}

/// Guards against a valid reservation that is dropped for a new one while expired ones keep their places.
#[test]
fn an_expired_reservation_makes_room_also_behind_one_that_is_valid_for_longer() {
    let mut table = ReservationTable::new(2);
    let (long, short, new) = (1, 2, 3);
    reserve(&mut table, 0.0, long, 8_000.0).expect("a slot is free");
    reserve(&mut table, 0.0, short, 100.0).expect("a slot is free");
    let after_short = 2_000.0;
    assert!(table.get(short).is_some_and(|reservation| reservation.until_ms < after_short));
    assert_eq!(table.expire(after_short), 1);
    reserve(&mut table, after_short, new, 100.0).expect("a slot is free");
    assert!(table.get(long).is_some(), "its time has not come yet");
    assert!(table.get(short).is_none() && table.get(new).is_some());
    assert_eq!((table.len(), table.by_expiry.len()), (2, 2));
}

/// Guards against entries by expiry that outlive their reservations: used, replaced or dropped at the bound.
#[test]
fn each_reservation_has_one_entry_by_expiry() {
    let mut table = ReservationTable::new(4);
    for step in 0..200_u32 {
        let now_ms = f64::from(step) * 70.0;
        reserve(&mut table, now_ms, ClientKey::from(step % 7), f64::from(step % 5) * 900.0);
        table.remove(ClientKey::from(step % 3));
        table.expire(now_ms);
        let expected: BTreeSet<_> =
            table.by_client.iter().map(|(client, kept)| (kept.until_ms.to_bits(), *client)).collect();
        assert_eq!(table.by_expiry, expected);
        assert!(table.by_client.iter().all(|(_, kept)| kept.until_ms >= now_ms));
    }
}
