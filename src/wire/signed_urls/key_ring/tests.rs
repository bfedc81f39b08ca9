use super::*;
use crate::wire::signed_urls::jwk::{parse_key_set, JwkError};

const SECRET: &str = "AAECAwQFBgcICQoLDA0ODxAREhMUFRYXGBkaGxwdHh8";

fn key_set(id: &str, secret: &str) -> Result<KeySet, JwkError> {
    parse_key_set(
        format!("{{\"keys\":[{{\"kty\":\"oct\",\"kid\":\"{id}\",\"k\":\"{secret}\"}}]}}").as_bytes(),
    )
}

#[test]
fn a_retired_key_is_accepted_until_the_overlap_ends() {
    let other_secret = SECRET.replace('A', "B");
    let mut ring = KeyRing::new(key_set("a", SECRET).unwrap(), 1_000.0);
    ring.rotate(key_set("b", SECRET).unwrap(), 5_000.0);
    assert_eq!(ring.find("a", 5_999.0).count(), 1);
    assert_eq!(ring.find("a", 6_000.0).count(), 0);
    assert_eq!(ring.find("b", 9_000.0).count(), 1);
    assert_eq!(
        ring.signer("a").map(|signer| signer.key_id),
        Some("b"),
        "tokens are still renewed after the rotation"
    );
    // A new key with the same id: both are accepted during the overlap.
    ring.rotate(key_set("b", &other_secret).unwrap(), 9_000.0);
    assert_eq!((ring.find("b", 9_500.0).count(), ring.find("b", 10_000.0).count()), (2, 1));
    (0..200).for_each(|k| ring.rotate(key_set(&format!("k{k}"), SECRET).unwrap(), 9_100.0));
    assert!(ring.retired.len() <= MAX_KEYS);
}
