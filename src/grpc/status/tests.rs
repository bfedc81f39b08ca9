use super::*;

const ALL_IDEMPOTENCIES: [Idempotency; 3] =
    [Idempotency::Idempotent, Idempotency::WithKey, Idempotency::NotIdempotent];

#[test]
fn status_codes_messages_and_pushbacks_are_parsed_and_encoded() {
    for n in 0..CODE_COUNT as u64 {
        let code = Code::from_number(n);
        assert_eq!(Code::parse(n.to_string().as_bytes()), Some(code));
        assert_eq!(Code::from_name(code.name()), Some(code));
    }
    assert_eq!(Code::parse(b"17"), Some(Code::UNKNOWN), "an undefined number");
    for bad in [&b""[..], b"x", b"-1", b"1 ", b"00000000001", b"\xff"] {
        assert_eq!(Code::parse(bad), None);
    }
    assert_eq!(encode_message("50% of caf\u{e9}\n"), "50%25 of caf%C3%A9%0A");
    assert_eq!(Pushback::parse(b"250"), Pushback::After(250.0));
    assert_eq!((Pushback::parse(b"-1"), Pushback::parse(b"soon")), (Pushback::Never, Pushback::Never));
}

/// Guards against executing a call twice: a non-idempotent method is retried only if the backend certainly
/// did not process the request, and no method after its response headers were sent.
#[test]
fn non_idempotent_methods_are_retried_only_if_certainly_unprocessed() {
    let mut ends = vec![
        AttemptEnd::Reset(7),
        AttemptEnd::Reset(8),
        AttemptEnd::ConnectionLost,
        AttemptEnd::Truncated,
        AttemptEnd::Malformed,
        AttemptEnd::TimedOut,
    ];
    ends.extend((0..17).map(|n| AttemptEnd::Status(Code::from_number(n), None)));
    ends.extend([200, 400, 404, 429, 500, 503].map(AttemptEnd::HttpStatus));
    let all_codes: Vec<Code> = (0..17).map(Code::from_number).collect();
    for end in &ends {
        let classified = classify(*end, false, Idempotency::NotIdempotent, &all_codes);
        assert!(!classified.retryable && !classified.outcome.never_ran(), "{end:?}: {classified:?}");
    }
    for end in [AttemptEnd::Unprocessed, AttemptEnd::NoConnection { local: false }, AttemptEnd::NotSent] {
        let classified = classify(end, false, Idempotency::NotIdempotent, &[]);
        assert!(classified.retryable && classified.outcome.never_ran(), "{end:?}: {classified:?}");
    }
    ends.extend([AttemptEnd::Unprocessed, AttemptEnd::NotSent]);
    for (end, idempotency) in ends.iter().flat_map(|e| ALL_IDEMPOTENCIES.map(|r| (*e, r))) {
        assert!(!classify(end, true, idempotency, &all_codes).retryable, "{end:?}: committed");
    }
}

/// Guards against ejecting backends for errors that the client caused.
#[test]
fn only_ok_counts_as_served_and_client_errors_do_not_count_against_backends() {
    for (n, committed) in (0..17).flat_map(|n| [(n, false), (n, true)]) {
        let code = Code::from_number(n);
        let classified = classify(
            AttemptEnd::Status(code, None),
            committed,
            Idempotency::Idempotent,
            &[Code::UNAVAILABLE],
        );
        assert_eq!(classified.outcome == AttemptOutcome::Served, code == Code::OK, "{code:?}");
        assert_eq!(classified.outcome == AttemptOutcome::Cancelled, code.is_client_error(), "{code:?}");
        assert_eq!(classified.retryable, code == Code::UNAVAILABLE && !committed);
        assert_eq!(classified.code, code);
    }
    let end = AttemptEnd::Status(Code::UNAVAILABLE, Some(Pushback::After(50.0)));
    assert!(
        !classify(end, false, Idempotency::Idempotent, &[Code::UNAVAILABLE]).retryable,
        "a status with a pushback is classified as retryable"
    );
}
