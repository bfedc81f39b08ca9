use super::*;

#[test]
fn a_manual_clock_moves_only_when_advanced() {
    let clock = Clock::manual(1_000.5);
    let copy = clock.clone();
    assert_eq!(clock.now(), 1_000.5);
    copy.advance(2.25);
    copy.advance(-50.0);
    assert_eq!(clock.now(), 1_002.75);
}

#[test]
fn times_convert_between_units_and_are_clamped() {
    assert_eq!(micros_from_ms(1.5), 1_500);
    assert_eq!(micros_from_ms(-3.0), 0);
    assert_eq!(ms_from_micros(2_250), 2.25);
    assert_eq!(duration_from_ms(-1.0), Duration::ZERO);
    assert_eq!(duration_from_ms(f64::INFINITY), Duration::from_secs(86_400));
}

#[test]
fn the_system_clock_does_not_run_backwards() {
    let clock = Clock::system();
    let first = clock.now();
    assert!(clock.now() >= first && first > 1.6e12);
}
