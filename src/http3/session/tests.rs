use super::*;

#[test]
fn a_token_is_valid_for_its_session_until_it_expires() {
    let tokens = SessionTokens::new(MessageKeys::random(), 60_000.0);
    let now = 1_764_576_000_000.0;
    let token = tokens.issue(now, 42);
    let session = tokens.verify(now + 59_999.0, &token).unwrap();
    assert_eq!((session.id, session.expires_ms), (42, now + 60_000.0));
    assert!(!tokens.needs_renewal(now, &session) && tokens.needs_renewal(now + 30_001.0, &session));
    assert_eq!(tokens.verify(now + 60_000.0, &token), Err(TokenError::Expired));
    assert_eq!(
        SessionTokens::new(MessageKeys::random(), 60_000.0).verify(now, &token),
        Err(TokenError::WrongSignature)
    );
    let bytes = URL_SAFE_NO_PAD.decode(&token).unwrap();
    for position in 0..bytes.len() {
        let mut altered = bytes.clone();
        altered[position] ^= 4;
        assert_eq!(
            tokens.verify(now, &URL_SAFE_NO_PAD.encode(&altered)),
            Err(TokenError::WrongSignature),
            "byte {position}"
        );
    }
    for bad in ["", "x", &token[1..], &format!("{token}AA"), "not base64 at all!"] {
        assert_eq!(tokens.verify(now, bad), Err(TokenError::Malformed), "{bad:?}");
    }
}
