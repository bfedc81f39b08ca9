use super::*;

/// The harm was a sum: every proxy tried again each 50 ms, in step with all others, as long as the bulletin was down.
#[test]
fn waits_between_vain_links_grow_are_bounded_and_keep_no_step() {
    let waits = |draw| [1, 2, 3, 4, 40].map(|vain| Progress { vain, ..Progress::default() }.wait_ms(draw));
    assert_eq!(waits(0.0), [50.0, 100.0, 200.0, 240.0, 240.0]);
    assert_eq!(waits(1.0), [25.0, 50.0, 100.0, 120.0, 120.0]);
    let after_service = |draw| Progress::default().wait_ms(draw);
    assert_eq!((after_service(0.0), after_service(1.0)), (0.0, AGAIN_MS));
}

#[test]
fn a_frame_that_fails_is_told_from_another() {
    let mut progress = Progress::default();
    assert_eq!([7, 7, 8, 7, 7, 7].map(|no| progress.stuck(no)), [1, 2, 1, 1, 2, 3]);
}
