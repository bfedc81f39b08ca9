use super::*;

const ALL: [Idempotency; 3] = [Idempotency::Idempotent, Idempotency::WithKey, Idempotency::NotIdempotent];

#[test]
fn codes_are_read_and_named() {
    for n in 0..CODES as u64 {
        let code = Code::of(n);
        assert_eq!(Code::parse(n.to_string().as_bytes()), Some(code));
        assert_eq!(Code::named(code.name()), Some(code));
    }
    assert_eq!(Code::parse(b"17"), Some(Code::UNKNOWN), "a number that nobody knows");
    for bad in [&b""[..], b"x", b"-1", b"1 ", b"00000000001", b"\xff"] {
        assert_eq!(Code::parse(bad), None);
    }
    assert_eq!(message("50% of caf\u{e9}\n"), "50%25 of caf%C3%A9%0A");
    assert_eq!(Pushback::parse(b"250"), Pushback::After(250.0));
    assert_eq!((Pushback::parse(b"-1"), Pushback::parse(b"soon")), (Pushback::Never, Pushback::Never));
}

/// Guards the rule that what may have run is never sent twice: whatever the end, a method that may run once
/// only goes on after ends that surely came before it ran.
#[test]
fn an_unsafe_method_goes_on_only_where_nothing_ran() {
    let mut ends = vec![
        AttemptEnd::Reset(7),
        AttemptEnd::Reset(8),
        AttemptEnd::ConnectionLost,
        AttemptEnd::Truncated,
        AttemptEnd::Malformed,
        AttemptEnd::TimedOut,
    ];
    ends.extend((0..17).map(|n| AttemptEnd::Status(Code::of(n), None)));
    ends.extend([200, 400, 404, 429, 500, 503].map(AttemptEnd::HttpStatus));
    let all: Vec<Code> = (0..17).map(Code::of).collect();
    for end in &ends {
        let judged = classify(*end, false, Idempotency::NotIdempotent, &all);
        assert!(!judged.again && !judged.outcome.never_ran(), "{end:?}: {judged:?}");
    }
    for end in [AttemptEnd::Unprocessed, AttemptEnd::NoConnection { local: false }, AttemptEnd::NotSent] {
        let judged = classify(end, false, Idempotency::NotIdempotent, &[]);
        assert!(judged.again && judged.outcome.never_ran(), "{end:?}: {judged:?}");
    }
    ends.extend([AttemptEnd::Unprocessed, AttemptEnd::NotSent]);
    for (end, repeat) in ends.iter().flat_map(|e| ALL.map(|r| (*e, r))) {
        assert!(!classify(end, true, repeat, &all).again, "{end:?}: committed");
    }
}

/// Every status code, trailers-only and after data: only OK is served.
#[test]
fn only_ok_is_served_and_the_callers_own_errors_leave_the_backend_alone() {
    for (n, committed) in (0..17).flat_map(|n| [(n, false), (n, true)]) {
        let code = Code::of(n);
        let judged = classify(
            AttemptEnd::Status(code, None),
            committed,
            Idempotency::Idempotent,
            &[Code::UNAVAILABLE],
        );
        assert_eq!(judged.outcome == AttemptOutcome::Served, code == Code::OK, "{code:?}");
        assert_eq!(judged.outcome == AttemptOutcome::Cancelled, code.is_callers(), "{code:?}");
        assert_eq!(judged.again, code == Code::UNAVAILABLE && !committed);
        assert_eq!(judged.code, code);
    }
    let told = AttemptEnd::Status(Code::UNAVAILABLE, Some(Pushback::After(50.0)));
    assert!(
        !classify(told, false, Idempotency::Idempotent, &[Code::UNAVAILABLE]).again,
        "it said when to come back"
    );
}
