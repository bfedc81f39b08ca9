use super::*;
use bytes::Bytes;

fn codec() -> HttpCodec {
    HttpCodec::new(Clock::manual(0.0), 100)
}

fn decode_first(bytes: &[u8]) -> Option<Result<HttpRequest, RejectedRequest>> {
    codec().decode(&mut BytesMut::from(bytes)).unwrap()
}

#[test]
fn requests_decode_however_they_are_split() {
    let text = b"PUT /ops/post/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello\
                     GET /alive HTTP/1.1\r\nHOST: a\r\nConnection: Close\r\n\r\n";
    for cut in 0..text.len() {
        let (mut codec, mut buffer, mut requests) = (codec(), BytesMut::new(), Vec::new());
        for part in [&text[..cut], &text[cut..]] {
            buffer.extend_from_slice(part);
            while let Some(request) = codec.decode(&mut buffer).unwrap() {
                requests.push(request.unwrap());
            }
        }
        assert_eq!(requests.len(), 2, "cut at {cut}");
        assert_eq!((&requests[0].body[..], requests[0].keep_alive), (&b"hello"[..], true));
        assert_eq!((requests[1].target.as_str(), requests[1].keep_alive), ("/alive", false));
    }
}

/// Nothing after a malformed request may be parsed as a request.
#[test]
fn malformed_requests_get_their_status_and_stop_decoding() {
    let long = format!("GET /{} HTTP/1.1\r\nHost: a\r\n\r\n", "x".repeat(MAX_HEAD));
    let many = format!("GET / HTTP/1.1\r\nHost: a\r\n{}\r\n", "X: y\r\n".repeat(MAX_HEADERS + 1));
    let cases: [(&str, u16); 12] = [
        ("\x01\x02\x03\r\n\r\n", 400),
        ("GET / HTTP/1.1\r\n\r\n", 400),
        ("GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400),
        ("GET / HTTP/1.1\r\nHost: a\r\nbad header\r\n\r\n", 400),
        ("PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n", 400),
        ("PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\nx", 400),
        ("PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", 400),
        ("PUT / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n", 501),
        ("PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: 101\r\n\r\n", 413),
        ("PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999999999999999999\r\n\r\n", 413),
        (&long, 431),
        (&many, 431),
    ];
    for (text, status) in cases {
        assert_eq!(
            decode_first(text.as_bytes()).unwrap().unwrap_err(),
            RejectedRequest(status),
            "{text:.60}"
        );
    }
    let mut codec = codec();
    let mut buffer = BytesMut::from(&b"nonsense\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n"[..]);
    assert!(codec.decode(&mut buffer).unwrap().unwrap().is_err());
    assert!(codec.decode(&mut buffer).unwrap().is_none());
}

#[test]
fn a_head_beyond_the_limit_is_rejected_before_its_end() {
    assert_eq!(decode_first(&vec![b'a'; MAX_HEAD + 1]).unwrap().unwrap_err(), RejectedRequest(431));
    assert!(decode_first(&vec![b'a'; MAX_HEAD - 1]).is_none());
}

#[test]
fn each_phase_is_timed_from_its_start() {
    let clock = Clock::manual(1_000.0);
    let mut codec = HttpCodec::new(clock.clone(), 100);
    let mut buffer = BytesMut::new();
    clock.advance(500.0);
    assert!(codec.decode(&mut buffer).unwrap().is_none());
    assert_eq!(codec.phase(), (Phase::Idle, 1_000.0));
    buffer.extend_from_slice(b"PUT / HT");
    assert!(codec.decode(&mut buffer).unwrap().is_none());
    clock.advance(100.0);
    buffer.extend_from_slice(b"TP/1.1\r\n");
    assert!(codec.decode(&mut buffer).unwrap().is_none());
    assert_eq!(codec.phase(), (Phase::Head, 1_500.0));
    buffer.extend_from_slice(b"Host: a\r\nContent-Length: 2\r\n\r\nx");
    assert!(codec.decode(&mut buffer).unwrap().is_none());
    assert_eq!(codec.phase(), (Phase::Body, 1_600.0));
}

#[test]
fn responses_have_a_content_length_except_304() {
    let encode = |response| {
        let mut out = BytesMut::new();
        codec().encode(response, &mut out).unwrap();
        String::from_utf8(out.to_vec()).unwrap()
    };
    let full = HttpResponse { body: Bytes::from_static(b"abc"), ..HttpResponse::status(200) };
    assert_eq!(encode(full.clone()), "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc");
    let head = HttpResponse { head_only: true, ..full };
    assert_eq!(encode(head), "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n");
    assert_eq!(
        encode(HttpResponse::status(304).with_header("ETag", "\"x\"")),
        "HTTP/1.1 304 Not Modified\r\nETag: \"x\"\r\n\r\n"
    );
    let long = HttpResponse { body: vec![b'x'; MAX_INLINE + 1].into(), ..HttpResponse::status(200) };
    assert!(
        encode(long).ends_with("Content-Length: 4097\r\n\r\n"),
        "a body above MAX_INLINE is not encoded with the head"
    );
    assert!(encode(HttpResponse::closing(400)).contains("Connection: close\r\n"));
}
