use super::*;

#[test]
fn a_token_opens_its_session_until_its_end_and_no_other() {
    let sessions = Sessions::new(MessageKeys::random(), 60_000.0);
    let now = 1_764_576_000_000.0;
    let token = sessions.token(now, 42);
    let session = sessions.open(now + 59_999.0, &token).unwrap();
    assert_eq!((session.id, session.until_ms), (42, now + 60_000.0));
    assert!(!sessions.is_old(now, &session) && sessions.is_old(now + 30_001.0, &session));
    assert_eq!(sessions.open(now + 60_000.0, &token), Err(BadToken::Expired));
    assert_eq!(Sessions::new(MessageKeys::random(), 60_000.0).open(now, &token), Err(BadToken::Wrong));
    let bytes = URL_SAFE_NO_PAD.decode(&token).unwrap();
    for place in 0..bytes.len() {
        let mut bad = bytes.clone();
        bad[place] ^= 4;
        assert_eq!(sessions.open(now, &URL_SAFE_NO_PAD.encode(&bad)), Err(BadToken::Wrong), "byte {place}");
    }
    for bad in ["", "x", &token[1..], &format!("{token}AA"), "not base64 at all!"] {
        assert_eq!(sessions.open(now, bad), Err(BadToken::Malformed), "{bad:?}");
    }
}
