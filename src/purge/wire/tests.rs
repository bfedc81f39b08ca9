use super::*;

#[test]
fn a_batch_reads_back_as_written_and_unknown_fields_are_refused() {
    let batch = Batch {
        leader: "edge-1".into(),
        from: 4,
        done: 2,
        floor: Some(Mark { seq: 3, issued_ms: 9.0 }),
        entries: vec![Purge { seq: 4, issued_ms: 10.0, sel: "pattern:/a/*".parse().unwrap() }],
    };
    assert_eq!(from_json::<Batch>(&to_json(&batch)), Ok(batch));
    assert!(from_json::<Submit>(br#"{"sel":"tag:a","when":1}"#).is_err());
    let fault = from_json::<Submit>(br#"{"sel":"pattern:/a/**/b"}"#).unwrap_err();
    assert!(fault.contains("last step"), "{fault}");
}

#[test]
fn an_answer_is_whole_only_with_all_of_its_body() {
    let text = b"HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\n{\"applied\":4}";
    assert_eq!(whole(text), Some((200, 39, 13)));
    assert_eq!(whole(&text[..text.len() - 1]), None);
    assert_eq!(whole(b"HTTP/1.1 200 OK\r\n\r\n"), None, "no length, no whole answer");
}
