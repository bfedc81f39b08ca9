use super::*;
use proptest::prelude::*;

#[test]
fn valid_timeouts_are_parsed_and_invalid_ones_rejected() {
    let parsed_ms = |text| parse(text);
    assert_eq!(
        (parsed_ms("1H"), parsed_ms("2M"), parsed_ms("3S")),
        (Some(3_600_000.0), Some(120_000.0), Some(3_000.0))
    );
    assert_eq!((parsed_ms("250m"), parsed_ms("500u")), (Some(250.0), Some(0.5)));
    assert_eq!(parsed_ms("99999999n"), Some(99.999999));
    for bad in ["", "S", "1", "123456789m", "-1S", "+1S", "1.5S", "1s", "1 S", "1é", "é", "０S"] {
        assert_eq!(parse(bad), None, "{bad:?}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    /// Guards against extending deadlines: a formatted timeout is never longer than the remaining time, and
    /// not much shorter.
    #[test]
    fn formatted_timeouts_do_not_exceed_the_remaining_time(ms in 0.0f64..4e11) {
        let text = format(ms);
        let parsed_ms = parse(&text).expect("a formatted timeout is valid");
        prop_assert!(parsed_ms <= ms, "{ms} became {text}");
        prop_assert!(parsed_ms >= ms * 0.999 - 1e-5 || ms > 5e9, "{ms} became {text}");
    }
}
