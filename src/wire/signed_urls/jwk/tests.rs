use super::*;

const K: &str = "AAECAwQFBgcICQoLDA0ODxAREhMUFRYXGBkaGxwdHh8";

fn set(kid: &str, k: &str) -> Result<KeySet, JwkError> {
    parse_key_set(format!("{{\"keys\":[{{\"kty\":\"oct\",\"kid\":\"{kid}\",\"k\":\"{k}\"}}]}}").as_bytes())
}

#[test]
fn base64url_has_one_spelling() {
    assert_eq!(decode_base64url("AQID").unwrap(), [1, 2, 3]);
    assert_eq!(decode_base64url("AQ").unwrap(), [1]);
    for bad in ["A", "AR", "AQ==", "A+ID", "AQI D"] {
        assert_eq!(decode_base64url(bad), None, "{bad}");
    }
}

#[test]
fn key_sets_are_validated_key_by_key() {
    let fault = |result: Result<KeySet, JwkError>| match result {
        Err(JwkError::Key { index, fault }) => (index, fault),
        other => panic!("{other:?}"),
    };
    assert_eq!(set("a", K).unwrap()["a"].algorithm, Algorithm::HS256);
    assert_eq!(fault(set("a", "AQID")), (0, KeyFault::SecretTooShort));
    assert_eq!(fault(set("", K)), (0, KeyFault::MissingId));
    assert!(matches!(parse_key_set(b"{"), Err(JwkError::Malformed(_))));
    assert!(matches!(parse_key_set(br#"{"keys":[{"kty":"RSA","kid":"r"}]}"#), Err(JwkError::NoKeys)));
    let alg = format!(r#"{{"keys":[{{"kty":"oct","kid":"a","alg":"ES256","k":"{K}"}}]}}"#);
    assert_eq!(fault(parse_key_set(alg.as_bytes())), (0, KeyFault::Algorithm));
    let twice =
        format!(r#"{{"keys":[{{"kty":"oct","kid":"a","k":"{K}"}},{{"kty":"oct","kid":"a","k":"{K}"}}]}}"#);
    assert_eq!(fault(parse_key_set(twice.as_bytes())), (1, KeyFault::DuplicateId));
}
