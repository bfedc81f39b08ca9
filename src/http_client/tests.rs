use super::*;

#[test]
fn a_response_is_complete_only_with_its_whole_body() {
    let text = b"HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\n{\"applied\":4}";
    let response = Response { status: 200, body: b"{\"applied\":4}".to_vec() };
    assert_eq!(parse_complete(text), Some(response));
    assert_eq!(parse_complete(&text[..text.len() - 1]), None);
    assert_eq!(parse_complete(b"HTTP/1.1 200 OK\r\n\r\n"), None, "no Content-Length");
}
