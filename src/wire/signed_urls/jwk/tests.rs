use super::*;

const SECRET: &str = "AAECAwQFBgcICQoLDA0ODxAREhMUFRYXGBkaGxwdHh8";

fn key_set(kid: &str, k: &str) -> Result<KeySet, JwkError> {
    parse_key_set(format!("{{\"keys\":[{{\"kty\":\"oct\",\"kid\":\"{kid}\",\"k\":\"{k}\"}}]}}").as_bytes())
}

#[test]
fn non_canonical_base64url_is_rejected() {
    assert_eq!(decode_base64url("AQID").unwrap(), [1, 2, 3]);
    assert_eq!(decode_base64url("AQ").unwrap(), [1]);
    for bad in ["A", "AR", "AQ==", "A+ID", "AQI D"] {
        assert_eq!(decode_base64url(bad), None, "{bad}");
    }
}

#[test]
fn a_key_set_with_an_invalid_key_is_rejected() {
    let error = |result: Result<KeySet, JwkError>| match result {
        Err(JwkError::Key { index, error }) => (index, error),
        other => panic!("{other:?}"),
    };
    assert_eq!(key_set("a", SECRET).unwrap()["a"].algorithm, Algorithm::HS256);
    assert_eq!(error(key_set("a", "AQID")), (0, KeyError::SecretTooShort));
    assert_eq!(error(key_set("", SECRET)), (0, KeyError::MissingId));
    assert!(matches!(parse_key_set(b"{"), Err(JwkError::Malformed(_))));
    assert!(matches!(parse_key_set(br#"{"keys":[{"kty":"RSA","kid":"r"}]}"#), Err(JwkError::NoKeys)));
    let wrong_algorithm = format!(r#"{{"keys":[{{"kty":"oct","kid":"a","alg":"ES256","k":"{SECRET}"}}]}}"#);
    assert_eq!(error(parse_key_set(wrong_algorithm.as_bytes())), (0, KeyError::AlgorithmMismatch));
    let duplicate_id = format!(
        r#"{{"keys":[{{"kty":"oct","kid":"a","k":"{SECRET}"}},{{"kty":"oct","kid":"a","k":"{SECRET}"}}]}}"#
    );
    assert_eq!(error(parse_key_set(duplicate_id.as_bytes())), (1, KeyError::DuplicateId));
}
