use super::*;
use std::time::Duration;

/// The moment `ms` after the start, by both clocks.
fn at(start: Instant, ms: u64) -> Moment {
    Moment { clock_ms: 1_000_000.0 + ms as f64, monotonic: start + Duration::from_millis(ms) }
}

fn ms(offset: u64) -> f64 {
    1_000_000.0 + offset as f64
}

#[test]
fn the_kernels_time_counts_where_it_is_possible() {
    let start = Instant::now();
    let mut arrivals = Arrivals::new(BacklogEmpty::at(at(start, 0)));
    assert_eq!(arrivals.record(at(start, 400), 10, Some(ms(150))), ms(150));
    arrivals.found_empty(at(start, 401));
    assert_eq!(arrivals.record(at(start, 900), 10, Some(ms(600))), ms(600));
    // Before there was last nothing to read, or in the future.
    arrivals.found_empty(at(start, 901));
    assert_eq!(arrivals.record(at(start, 950), 10, Some(ms(600))), ms(950));
    arrivals.found_empty(at(start, 951));
    assert_eq!(arrivals.record(at(start, 960), 10, Some(ms(990))), ms(960));
}

/// Guards against a deadline that is counted from the read of a request that waited in the listen backlog.
#[test]
fn bytes_of_a_new_connection_count_as_old_as_they_can_be_without_the_kernels_time() {
    let start = Instant::now();
    let mut arrivals = Arrivals::new(BacklogEmpty::at(at(start, 0)));
    assert_eq!(arrivals.record(at(start, 400), 10, None), ms(0));
    assert_eq!(arrivals.record(at(start, 700), 10, None), ms(700));
    let mut idle = Arrivals::new(BacklogEmpty::at(at(start, 0)));
    idle.found_empty(at(start, 400));
    assert_eq!(idle.record(at(start, 700), 10, None), ms(700));
}

/// Guards against the time for which a listener waits being taken from a request that is read at once.
#[test]
fn the_wait_of_a_listener_does_not_count_but_its_delay_does() {
    let start = Instant::now();
    let awaited = BacklogEmpty { found: at(start, 0), assumed_ms: ms(5_000) };
    assert_eq!(Arrivals::new(awaited).record(at(start, 5_001), 10, None), ms(5_000));
    assert_eq!(Arrivals::new(awaited).record(at(start, 5_001), 10, Some(ms(4_600))), ms(4_600));
}

/// Guards against requests that end at once because the wall clock was stepped while they waited.
#[test]
fn the_kernels_time_does_not_count_over_a_step_of_the_wall_clock() {
    let start = Instant::now();
    let hour_ms = 3_600_000.0;
    let mut arrivals = Arrivals::new(BacklogEmpty::at(at(start, 0)));
    arrivals.found_empty(at(start, 10));
    let after_step = Moment { clock_ms: ms(500) + hour_ms, ..at(start, 500) };
    assert_eq!(arrivals.record(after_step, 10, Some(ms(400))), after_step.clock_ms);
}

#[test]
fn a_request_arrived_with_its_last_byte() {
    let start = Instant::now();
    let mut arrivals = Arrivals::new(BacklogEmpty::at(at(start, 0)));
    assert_eq!(arrivals.of_request(0), None);
    for read_ms in [100, 200, 300] {
        arrivals.record(at(start, read_ms), 10, Some(ms(read_ms)));
    }
    // Requests of 15, 5 and 10 bytes.
    assert_eq!(arrivals.of_request(15), Some(ms(200)));
    assert_eq!(arrivals.of_request(10), Some(ms(200)));
    assert_eq!(arrivals.of_request(0), Some(ms(300)));
}

/// Guards against a list that grows with a body that arrives byte by byte.
#[test]
fn the_number_of_reads_kept_is_bounded_and_none_becomes_newer() {
    let start = Instant::now();
    let mut arrivals = Arrivals::new(BacklogEmpty::at(at(start, 0)));
    for read_ms in 1..=1_000 {
        arrivals.record(at(start, read_ms), 1, Some(ms(read_ms)));
        assert!(arrivals.reads.len() <= MAX_READS);
    }
    assert!(arrivals.of_request(0).is_some_and(|arrived_ms| arrived_ms <= ms(1_000)));
}
