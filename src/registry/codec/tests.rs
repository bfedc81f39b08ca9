use super::*;

#[test]
fn etcd_watch_messages_are_decoded_and_invalid_base64_is_rejected() {
    let key = STANDARD.encode("/m/1");
    let put = format!(
        r#"{{"result":{{"header":{{"revision":"9"}},"events":[{{"kv":{{"key":"{key}","value":"e30=","mod_revision":"9"}}}},{{"type":"DELETE","kv":{{"key":"{key}","mod_revision":"10"}}}}]}}}}"#
    );
    let response = decode_watch_line(&mut put.into_bytes()).unwrap();
    let WatchResponse::Changes { revision: 9, changes } = response else { panic!("{response:?}") };
    assert!(matches!(&changes[0], Change::Put(entry) if entry.key == "/m/1" && entry.value == b"{}"));
    assert_eq!(changes[1], Change::Delete { key: "/m/1".into(), revision: 10 });
    let compacted = br#"{"result":{"header":{"revision":"40"},"canceled":true,"compact_revision":"30"}}"#;
    let response = decode_watch_line(&mut compacted.to_vec()).unwrap();
    assert_eq!(response, WatchResponse::Compacted { revision: 30 });
    let bad_key = b"{\"result\":{\"events\":[{\"kv\":{\"key\":\"%%\"}}]}}";
    assert!(decode_watch_line(&mut bad_key.to_vec()).is_err());
    assert_eq!(range_end("/m/"), b"/m0");
}
