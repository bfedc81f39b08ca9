use super::*;

#[test]
fn watch_lines_read_as_etcd_words_them() {
    let addr: SocketAddr = "127.0.0.1:1".parse().unwrap();
    let key = STANDARD.encode("/m/1");
    let put = format!(
        r#"{{"result":{{"header":{{"revision":"9"}},"events":[{{"kv":{{"key":"{key}","value":"e30=","mod_revision":"9"}}}},{{"type":"DELETE","kv":{{"key":"{key}","mod_revision":"10"}}}}]}}}}"#
    );
    let told = parse(addr, &mut put.into_bytes()).unwrap();
    let Told::Changes(9, changes) = told else { panic!("{told:?}") };
    assert!(matches!(&changes[0], Change::Put(kv) if kv.key == "/m/1" && kv.value == b"{}"));
    assert_eq!(changes[1], Change::Delete { key: "/m/1".into(), revision: 10 });
    let compacted = br#"{"result":{"header":{"revision":"40"},"canceled":true,"compact_revision":"30"}}"#;
    assert_eq!(parse(addr, &mut compacted.to_vec()).unwrap(), Told::Compacted(30));
    assert!(parse(addr, &mut b"{\"result\":{\"events\":[{\"kv\":{\"key\":\"%%\"}}]}}".to_vec()).is_err());
    assert_eq!(range_end("/m/"), b"/m0");
}
