use super::*;

fn all(codec: &mut LineCodec, bytes: &[u8]) -> Result<Vec<Reply>, WireError> {
    let mut buf = BytesMut::from(bytes);
    let mut out = Vec::new();
    while let Some(reply) = codec.decode(&mut buf)? {
        out.push(reply);
    }
    Ok(out)
}

#[test]
fn answers_come_in_any_order_and_split_at_any_byte() {
    let text = b"000000000000000a ACK sum=4be0,t0=1764576000123,load=inflight:7;util:0.61 5\r\na\r\nbc\r\n\
                     000000000000000b NOENT - 0\r\n\r\n000000000000000c NOMOD sum=9,t0=5 0\r\n\r\n";
    let whole = all(&mut LineCodec::default(), text).unwrap();
    assert_eq!(
        whole.iter().map(|r| (r.id, r.word)).collect::<Vec<_>>(),
        [(10, Word::Ack), (11, Word::Noent), (12, Word::Nomod)]
    );
    assert_eq!((&whole[0].body[..], whole[0].born), (&b"a\r\nbc"[..], Some(1_764_576_000_123.0)));
    for cut in 0..text.len() {
        let (mut codec, mut buf, mut got) = (LineCodec::default(), BytesMut::new(), Vec::new());
        for part in [&text[..cut], &text[cut..]] {
            buf.extend_from_slice(part);
            while let Some(reply) = codec.decode(&mut buf).unwrap() {
                got.push(reply);
            }
        }
        assert_eq!(got, whole, "cut at {cut}");
    }
}

/// Guards what waits behind an answer that stops short: the codec tells that it is in the middle of one.
#[test]
fn the_middle_of_an_answer_is_told_from_its_end() {
    let text = b"000000000000000a ACK sum=1,t0=1 3\r\nabc\r\n000000000000000b NOENT - 0\r\n\r\n";
    for cut in 0..=text.len() {
        let (mut codec, mut buf) = (LineCodec::default(), BytesMut::from(&text[..cut]));
        while codec.decode(&mut buf).unwrap().is_some() {}
        let first = text.iter().position(|b| *b == b'c').unwrap() + 3;
        let between = [0, first, text.len() - 2, text.len() - 1, text.len()].contains(&cut);
        assert_eq!(codec.within(&buf), !between, "cut at {cut}");
    }
}

/// Guards against a pop cache whose bytes can't be read: the connection ends, nothing is guessed.
#[test]
fn what_is_malformed_or_too_large_is_an_error() {
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
        assert!(all(&mut LineCodec::default(), bytes).is_err(), "{:?}", String::from_utf8_lossy(bytes));
    }
}

/// Guards against taking the answer to a write for malformed: no copy is kept, so it may have no tag.
#[test]
fn an_answer_to_a_write_needs_no_tag() {
    let got = all(&mut LineCodec::default(), b"000000000000000a ACK - 2\r\nok\r\n").unwrap();
    assert_eq!((got[0].word, &got[0].body[..], &got[0].tag), (Word::Ack, &b"ok"[..], &None));
}

#[test]
fn an_answers_note_is_read() {
    let text = b"000000000000000a ACK sum=1,t0=5,note=COLLAPSED,slow=31 1\r\nx\r\n\
                 000000000000000b EIO note=ORIGIN_ERR,slow=140 0\r\n\r\n\
                 000000000000000c NOENT note=UP_MISS 0\r\n\r\n\
                 000000000000000d AGAIN - 0\r\n\r\n";
    let got = all(&mut LineCodec::default(), text).unwrap();
    assert_eq!(
        got.iter().map(|reply| (reply.word, reply.note)).collect::<Vec<_>>(),
        [
            (Word::Ack, Some(PathNote::Collapsed)),
            (Word::Eio, Some(PathNote::OriginError)),
            (Word::Noent, Some(PathNote::SourceMiss)),
            (Word::Again, None),
        ]
    );
}

/// Guards a good answer against its note: the bytes do not depend on it.
#[test]
fn an_unknown_or_garbled_note_spoils_no_answer() {
    for note in ["note=", "note", "note=hit", "note=HIT=MISS", "note=7", "note=\u{e9}"] {
        let text = format!("000000000000000a ACK sum=4be0,{note},t0=5 2\r\nok\r\n");
        let got = all(&mut LineCodec::default(), text.as_bytes()).unwrap();
        let [reply] = &got[..] else { panic!("{note}: {got:?}") };
        assert_eq!((reply.word, reply.note, &reply.body[..]), (Word::Ack, None, &b"ok"[..]), "{note}");
        assert_eq!((reply.tag.as_deref(), reply.born), (Some("4be0"), Some(5.0)), "{note}");
    }
}

#[test]
fn requests_are_written_with_the_fields_that_they_have() {
    let mut out = BytesMut::new();
    let get = Get {
        id: "9b1f03aa5c7e2d41".into(),
        class: "segment".into(),
        object: "7f3a9c21e0b4d655".into(),
        part: 3,
        wait_ms: 900,
        source: Some(0xc41f7a),
        keep: 2,
        max_age_ms: 1_500,
        join: true,
        revalidate: true,
        cached: Some("4be0".into()),
        ..Get::default()
    };
    LineCodec::default().encode(Command::Get(Box::new(get)), &mut out).unwrap();
    LineCodec::default().encode(Command::Drop("9b1f03aa5c7e2d41".into()), &mut out).unwrap();
    let held =
        Get { id: "000000000000000a".into(), join: true, only_if_cached: true, wait_ms: 5, ..Get::default() };
    LineCodec::default().encode(Command::Get(Box::new(held)), &mut out).unwrap();
    assert_eq!(
        &out[..],
        &b"GET 9b1f03aa5c7e2d41 c=segment,k=7f3a9c21e0b4d655,p=3,w=900,next=s-00c41f7a,admit=2,agelim=1500,\
               ways=ride+update,cached=4be0 0\r\n\r\nDROP 9b1f03aa5c7e2d41\r\n\
               GET 000000000000000a c=,k=,p=0,w=5,ways=ride+have-only 0\r\n\r\n"[..]
    );
}
