use super::*;

#[test]
fn keys_are_checked_and_the_first_signs() {
    let line = |seed: u8| STANDARD.encode([seed; 32]);
    let both = MessageKeys::parse(&format!("# first signs\n{}\n\n{}\n", line(1), line(2))).unwrap();
    let (one, two) = (MessageKeys::parse(&line(1)).unwrap(), MessageKeys::parse(&line(2)).unwrap());
    let tag = both.sign(b"label", &[b"a", b"b"]);
    assert!(one.verify(b"label", &[b"a", b"b"], &tag) && both.verify(b"label", &[b"a", b"b"], &tag));
    assert!(!two.verify(b"label", &[b"a", b"b"], &tag) && !one.verify(b"other", &[b"a", b"b"], &tag));
    assert!(both.verify(b"label", &[b"x"], &two.sign(b"label", &[b"x"])));
    assert!(!one.verify(b"label", &[b"a", b"b"], &[]), "no tag at all");
    for bad in ["", "#", "not base64!", "c2hvcnQ="] {
        assert!(MessageKeys::parse(bad).is_err(), "{bad:?}");
    }
    assert_ne!(MessageKeys::random().sign(b"l", &[]), MessageKeys::random().sign(b"l", &[]));
}
