use super::*;

const K: &str = "AAECAwQFBgcICQoLDA0ODxAREhMUFRYXGBkaGxwdHh8";

fn set(kid: &str, k: &str) -> Result<HashMap<String, Key>, KeysError> {
    read(format!("{{\"keys\":[{{\"kty\":\"oct\",\"kid\":\"{kid}\",\"k\":\"{k}\"}}]}}").as_bytes())
}

#[test]
fn base64url_has_one_spelling() {
    assert_eq!(base64url("AQID").unwrap(), [1, 2, 3]);
    assert_eq!(base64url("AQ").unwrap(), [1]);
    for bad in ["A", "AR", "AQ==", "A+ID", "AQI D"] {
        assert_eq!(base64url(bad), None, "{bad}");
    }
}

#[test]
fn sets_are_checked_key_by_key() {
    assert_eq!(set("a", K).unwrap()["a"].algorithm, Algorithm::HS256);
    assert_eq!(set("a", "AQID").unwrap_err(), KeysError::Key(0, "`k` is too short"));
    assert_eq!(set("", K).unwrap_err(), KeysError::Key(0, "no `kid`"));
    assert!(matches!(read(b"{"), Err(KeysError::Malformed(_))));
    assert!(matches!(read(br#"{"keys":[{"kty":"RSA","kid":"r"}]}"#), Err(KeysError::Count(_))));
    let alg = format!(r#"{{"keys":[{{"kty":"oct","kid":"a","alg":"ES256","k":"{K}"}}]}}"#);
    assert_eq!(read(alg.as_bytes()).unwrap_err(), KeysError::Key(0, "`alg` is not that of its type"));
    let twice =
        format!(r#"{{"keys":[{{"kty":"oct","kid":"a","k":"{K}"}},{{"kty":"oct","kid":"a","k":"{K}"}}]}}"#);
    assert_eq!(read(twice.as_bytes()).unwrap_err(), KeysError::Key(1, "a `kid` stands twice"));
}

#[test]
fn a_key_rotated_out_is_good_for_the_overlap() {
    let other = K.replace('A', "B");
    let mut ring = KeyRing::new(set("a", K).unwrap(), 1_000.0);
    ring.rotate(set("b", K).unwrap(), 5_000.0);
    assert_eq!(ring.find("a", 5_999.0).count(), 1);
    assert_eq!(ring.find("a", 6_000.0).count(), 0);
    assert_eq!(ring.find("b", 9_000.0).count(), 1);
    assert_eq!(ring.signer("a").map(|(kid, _)| kid), Some("b"), "what is renewed outlives the rotation");
    // The same name with another key: both are good for a while.
    ring.rotate(set("b", &other).unwrap(), 9_000.0);
    assert_eq!((ring.find("b", 9_500.0).count(), ring.find("b", 10_000.0).count()), (2, 1));
    (0..200).for_each(|k| ring.rotate(set(&format!("k{k}"), K).unwrap(), 9_100.0));
    assert!(ring.old.len() <= MAX_KEYS);
}
