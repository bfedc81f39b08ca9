//! What can be served from one place only keeps room there: writes while the origin is slow and copies are void.

mod common;
mod fleet_model;

use common::S;
use fleet_model::{Day, Fleet, Result};

/// A day on which, after eight seconds, half of the groups are purged at once and the origin is `slow` times slower,
/// for fleets of several sizes with the same requests in all, with notes of answers' paths and without.
fn days(slow: u64) -> Vec<(Day, Result)> {
    let all = [(30, true), (30, false), (330, true), (330, false)];
    let day = |(fleet_size, notes)| Day {
        fleet_size,
        locations: 30,
        rate: 1_200,
        write_every: 25,
        origin_rate: 500,
        slow_at: 8 * S,
        slow,
        length: 16 * S,
        notes,
        seed: 1,
    };
    all.into_iter().map(day).map(|day| (day, Fleet::play(day))).collect()
}

fn share(served: u32, asked: u32) -> f64 {
    f64::from(served) / f64::from(asked)
}

/// The model itself is no obstacle: while the origin keeps its pace, a purge of half of the groups costs nothing.
#[test]
fn an_origin_at_its_pace_serves_all() {
    for (day, result) in days(1) {
        assert_eq!(result.stops, 0, "{day:?}");
        assert!(result.writes > 200 && result.reads > 5_000, "{day:?}: {result:?}");
        assert!(share(result.writes_in_time, result.writes) > 0.99, "{day:?}: {result:?}");
        assert!(share(result.reads_in_time, result.reads) > 0.99, "{day:?}: {result:?}");
    }
}

/// Writes ask for 48 of the 167 answers a second that the origin still gives; fills that yield leave them those.
#[test]
fn writes_keep_their_room_while_the_origin_is_slow() {
    for (day, result) in days(3) {
        assert_eq!(result.stops, 0, "{day:?}: {result:?}");
        assert!(share(result.writes_in_time, result.writes) > 0.5, "{day:?}: {result:?}");
        assert!(share(result.reads_in_time, result.reads) > 0.5, "{day:?}: {result:?}");
    }
}
