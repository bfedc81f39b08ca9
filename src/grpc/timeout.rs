//! `grpc-timeout` (gRPC over HTTP/2, "Request-Headers"): 1 to 8 digits and a unit.

/// A time-out in milliseconds, or none where the text is no time-out.
pub fn parse(text: &str) -> Option<f64> {
    let (digits, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    if !(1..=8).contains(&digits.len()) || !digits.bytes().all(|b| b.is_ascii_digit()) {
        return None;
    }
    let value: u32 = digits.parse().ok()?;
    let ms = match unit {
        "H" => 3_600_000.0,
        "M" => 60_000.0,
        "S" => 1_000.0,
        "m" => 1.0,
        "u" => 1e-3,
        "n" => 1e-6,
        _ => return None,
    };
    Some(f64::from(value) * ms)
}

/// A time-out as text: the finest unit whose digits suffice, rounded down, so that what is passed on is never
/// longer than what is left. Nothing left is `0n`.
pub fn format(ms: f64) -> String {
    let ms = ms.max(0.0);
    for (unit, each) in [('n', 1e-6), ('u', 1e-3), ('m', 1.0), ('S', 1_000.0), ('M', 60_000.0)] {
        // A number that binary fractions can't hold may come out a hair above: down again for that.
        let value = (ms / each * (1.0 - 1e-12)).floor();
        if value <= 99_999_999.0 {
            return format!("{}{unit}", value as u32);
        }
    }
    format!("{}H", ((ms / 3_600_000.0).floor()).min(99_999_999.0) as u32)
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn units_are_read_and_nonsense_is_not() {
        let ms = |text| parse(text);
        assert_eq!((ms("1H"), ms("2M"), ms("3S")), (Some(3_600_000.0), Some(120_000.0), Some(3_000.0)));
        assert_eq!((ms("250m"), ms("500u")), (Some(250.0), Some(0.5)));
        assert_eq!(ms("99999999n"), Some(99.999999));
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

        /// Guards the rule on deadlines: what is written is never more than what is left, and loses little.
        #[test]
        fn what_is_written_is_never_longer(ms in 0.0f64..4e11) {
            let text = format(ms);
            let back = parse(&text).expect("it reads its own");
            prop_assert!(back <= ms, "{ms} became {text}");
            prop_assert!(back >= ms * 0.999 - 1e-5 || ms > 5e9, "{ms} became {text}");
        }
    }
}
