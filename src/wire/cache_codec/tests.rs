use super::*;

fn decode_all(codec: &mut CacheCodec, bytes: &[u8]) -> Result<Vec<CacheReply>, ReplyError> {
    let mut buffer = BytesMut::from(bytes);
    let mut out = Vec::new();
    while let Some(reply) = codec.decode(&mut buffer)? {
        out.push(reply);
    }
    Ok(out)
}

#[test]
fn replies_decode_in_any_order_and_split_at_any_byte() {
    let text = b"000000000000000a ACK sum=4be0,t0=1764576000123,load=inflight:7;util:0.61 5\r\na\r\nbc\r\n\
                     000000000000000b NOENT - 0\r\n\r\n000000000000000c NOMOD sum=9,t0=5 0\r\n\r\n";
    let expected = decode_all(&mut CacheCodec::default(), text).unwrap();
    assert_eq!(
        expected.iter().map(|r| (r.request_id, r.status)).collect::<Vec<_>>(),
        [(10, ReplyStatus::Served), (11, ReplyStatus::Miss), (12, ReplyStatus::NotModified)]
    );
    assert_eq!(
        (&expected[0].body[..], expected[0].generated_at_ms),
        (&b"a\r\nbc"[..], Some(1_764_576_000_123.0))
    );
    for cut in 0..text.len() {
        let (mut codec, mut buffer, mut replies) = (CacheCodec::default(), BytesMut::new(), Vec::new());
        for part in [&text[..cut], &text[cut..]] {
            buffer.extend_from_slice(part);
            while let Some(reply) = codec.decode(&mut buffer).unwrap() {
                replies.push(reply);
            }
        }
        assert_eq!(replies, expected, "cut at {cut}");
    }
}

/// The stall check relies on `is_within_reply`: a missed stall blocks all later replies, and a false one
/// closes an idle connection.
#[test]
fn incomplete_replies_are_recognised() {
    let text = b"000000000000000a ACK sum=1,t0=1 3\r\nabc\r\n000000000000000b NOENT - 0\r\n\r\n";
    for cut in 0..=text.len() {
        let (mut codec, mut buffer) = (CacheCodec::default(), BytesMut::from(&text[..cut]));
        while codec.decode(&mut buffer).unwrap().is_some() {}
        let first_reply_end = text.iter().position(|b| *b == b'c').unwrap() + 3;
        let is_between_replies =
            [0, first_reply_end, text.len() - 2, text.len() - 1, text.len()].contains(&cut);
        assert_eq!(codec.is_within_reply(&buffer), !is_between_replies, "cut at {cut}");
    }
}

#[test]
fn malformed_and_oversized_replies_are_errors() {
    let long = vec![b'x'; MAX_LINE + 10];
    let bad: [&[u8]; 9] = [
        b"nonsense\r\n",
        b"000000000000000a WHAT - 0\r\n",
        b"00a ACK sum=1,t0=1 0\r\n",
        b"000000000000000a ACK sum=1,t0=x 0\r\n",
        b"000000000000000a ACK sum=1,t0=1 240001\r\n",
        b"000000000000000a ACK sum=1,t0=1 -1\r\n",
        b"000000000000000a NOENT - 1\r\nx\r\n",
        b"000000000000000a ACK sum=1,t0=1 1\r\nxyz",
        &long,
    ];
    for bytes in bad {
        assert!(
            decode_all(&mut CacheCodec::default(), bytes).is_err(),
            "{:?}",
            String::from_utf8_lossy(bytes)
        );
    }
}

/// No copy of a write is stored, so its reply may have no entity tag.
#[test]
fn a_reply_to_a_write_needs_no_entity_tag() {
    let replies = decode_all(&mut CacheCodec::default(), b"000000000000000a ACK - 2\r\nok\r\n").unwrap();
    assert_eq!(
        (replies[0].status, &replies[0].body[..], &replies[0].entity_tag),
        (ReplyStatus::Served, &b"ok"[..], &None)
    );
}

#[test]
fn the_path_of_a_reply_is_parsed() {
    let text = b"000000000000000a ACK sum=1,t0=5,note=COLLAPSED,slow=31 1\r\nx\r\n\
                 000000000000000b EIO note=ORIGIN_ERR,slow=140 0\r\n\r\n\
                 000000000000000c NOENT note=UP_MISS 0\r\n\r\n\
                 000000000000000d AGAIN - 0\r\n\r\n";
    let replies = decode_all(&mut CacheCodec::default(), text).unwrap();
    assert_eq!(
        replies.iter().map(|reply| (reply.status, reply.response_path)).collect::<Vec<_>>(),
        [
            (ReplyStatus::Served, Some(ResponsePath::Collapsed)),
            (ReplyStatus::Error, Some(ResponsePath::OriginFailed)),
            (ReplyStatus::Miss, Some(ResponsePath::NotAtSource)),
            (ReplyStatus::Overloaded, None),
        ]
    );
}

/// The path is only used to attribute failures, so the rest of the reply must still be decoded.
#[test]
fn an_unknown_or_malformed_path_does_not_invalidate_a_reply() {
    for note in ["note=", "note", "note=hit", "note=HIT=MISS", "note=7", "note=\u{e9}"] {
        let text = format!("000000000000000a ACK sum=4be0,{note},t0=5 2\r\nok\r\n");
        let replies = decode_all(&mut CacheCodec::default(), text.as_bytes()).unwrap();
        let [reply] = &replies[..] else { panic!("{note}: {replies:?}") };
        assert_eq!(
            (reply.status, reply.response_path, &reply.body[..]),
            (ReplyStatus::Served, None, &b"ok"[..]),
            "{note}"
        );
        assert_eq!((reply.entity_tag.as_deref(), reply.generated_at_ms), (Some("4be0"), Some(5.0)), "{note}");
    }
}

#[test]
fn requests_are_encoded_with_the_fields_that_are_set() {
    let mut out = BytesMut::new();
    let request = CacheRequest {
        id: "9b1f03aa5c7e2d41".into(),
        class: "segment".into(),
        object: "7f3a9c21e0b4d655".into(),
        part: 3,
        timeout_ms: 900,
        fill_source: Some(0xc41f7a),
        retention_rank: 2,
        max_age_ms: 1_500,
        join_fill: true,
        revalidate: true,
        client_etag: Some("4be0".into()),
        ..CacheRequest::default()
    };
    CacheCodec::default().encode(CacheCommand::Send(Box::new(request)), &mut out).unwrap();
    CacheCodec::default().encode(CacheCommand::Cancel("9b1f03aa5c7e2d41".into()), &mut out).unwrap();
    let only_if_cached = CacheRequest {
        id: "000000000000000a".into(),
        join_fill: true,
        only_if_cached: true,
        timeout_ms: 5,
        ..CacheRequest::default()
    };
    CacheCodec::default().encode(CacheCommand::Send(Box::new(only_if_cached)), &mut out).unwrap();
    assert_eq!(
        &out[..],
        &b"GET 9b1f03aa5c7e2d41 c=segment,k=7f3a9c21e0b4d655,p=3,w=900,next=s-00c41f7a,admit=2,agelim=1500,\
               ways=ride+update,cached=4be0 0\r\n\r\nDROP 9b1f03aa5c7e2d41\r\n\
               GET 000000000000000a c=,k=,p=0,w=5,ways=ride+have-only 0\r\n\r\n"[..]
    );
}
