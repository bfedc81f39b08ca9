use super::*;

#[test]
fn the_first_key_signs_every_key_verifies_and_invalid_key_files_are_rejected() {
    let line = |seed: u8| STANDARD.encode([seed; 32]);
    let both = MessageKeys::parse(&format!("# first signs\n{}\n\n{}\n", line(1), line(2))).unwrap();
    let (one, two) = (MessageKeys::parse(&line(1)).unwrap(), MessageKeys::parse(&line(2)).unwrap());
    let signature = both.sign(b"label", &[b"a", b"b"]);
    assert!(
        one.verify(b"label", &[b"a", b"b"], &signature) && both.verify(b"label", &[b"a", b"b"], &signature)
    );
    assert!(
        !two.verify(b"label", &[b"a", b"b"], &signature) && !one.verify(b"other", &[b"a", b"b"], &signature)
    );
    assert!(both.verify(b"label", &[b"x"], &two.sign(b"label", &[b"x"])));
    assert!(!one.verify(b"label", &[b"a", b"b"], &[]), "no signature");
    for bad in ["", "#", "not base64!", "c2hvcnQ="] {
        assert!(MessageKeys::parse(bad).is_err(), "{bad:?}");
    }
    assert_ne!(MessageKeys::random().sign(b"l", &[]), MessageKeys::random().sign(b"l", &[]));
}
