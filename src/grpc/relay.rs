//! One call's bytes, both ways: the client's request to the attempt's backend, the backend's response and its
//! trailers back, each with the other side's flow control. What is done next is [`super::calls`]' word.

use super::admission::{AdmissionPermit, AdmissionResult};
use super::calls::{object, AttemptTarget, CallId, CallOutcome, Directive, LocalStatus, NewCall};
use super::frames::{MessageError, MessageTracker};
use super::routes::MethodKind;
use super::server::GrpcFront;
use super::status::{message, AttemptEnd, Code, Pushback};
use super::timeout;
use super::upstream::ConnectionError;
use crate::clock::duration_from_ms;
use bytes::Bytes;
use h2::client::ResponseFuture;
use h2::server::SendResponse;
use h2::{Reason, RecvStream, SendStream};
use http::{request, HeaderMap, HeaderName, HeaderValue, Method, Request, Response};
use std::future::poll_fn;
use std::net::IpAddr;
use std::rc::Rc;

const STATUS: &str = "grpc-status";
const PUSHBACK: &str = "grpc-retry-pushback-ms";
/// Headers of one hop (RFC 9113, section 8.2.2), and those that this proxy words itself.
const HOP_BY_HOP_HEADERS: [&str; 8] = [
    "connection",
    "proxy-connection",
    "keep-alive",
    "transfer-encoding",
    "upgrade",
    "te",
    "grpc-timeout",
    "grpc-previous-rpc-attempts",
];

/// The client's half that sends.
struct Up {
    body: RecvStream,
    /// The client has sent all.
    done: bool,
    /// What is kept for a further attempt.
    kept: Vec<Bytes>,
    replayable: bool,
    tracker: MessageTracker,
}

/// The client's half that receives.
enum Down {
    /// The response has not begun.
    Head(SendResponse<Bytes>),
    /// Its headers went out.
    Body(SendStream<Bytes>),
    /// It has ended.
    Done,
}

impl Down {
    /// Waits until the client resets the call or its connection is gone.
    async fn left(&mut self) {
        poll_fn(|cx| match self {
            Self::Head(respond) => respond.poll_reset(cx).map(drop),
            Self::Body(stream) => stream.poll_reset(cx).map(drop),
            Self::Done => std::task::Poll::Pending,
        })
        .await;
    }

    /// Begins the response; false where the client is gone.
    fn commit(&mut self, headers: HeaderMap) -> bool {
        let Self::Head(respond) = self else { return false };
        match respond.send_response(response(headers), false) {
            Ok(stream) => {
                *self = Self::Body(stream);
                true
            }
            Err(_) => false,
        }
    }

    /// Ends the call with these trailers: after its response, or as the whole of it ("trailers-only").
    fn end(&mut self, trailers: HeaderMap) {
        match std::mem::replace(self, Self::Done) {
            Self::Head(mut respond) => {
                let _ = respond.send_response(response(trailers), true);
            }
            Self::Body(mut stream) => {
                let _ = stream.send_trailers(trailers);
            }
            Self::Done => {}
        }
    }
}

fn response(headers: HeaderMap) -> Response<()> {
    let mut response = Response::new(());
    *response.headers_mut() = headers;
    response.headers_mut().entry("content-type").or_insert(HeaderValue::from_static("application/grpc"));
    response
}

/// What came of an attempt.
enum Came {
    /// It ended; the backend's own last headers, where it sent any.
    AttemptEnd(AttemptEnd, Option<HeaderMap>),
    /// The client left.
    Left,
    /// The call can't go on, for its client's or the proxy's own sake.
    Abort(LocalStatus),
}

fn without_hop(headers: &HeaderMap) -> HeaderMap {
    let mut all = headers.clone();
    // What `connection` names is of this hop too.
    let named: Vec<String> = headers
        .get_all("connection")
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(',').map(|n| n.trim().to_ascii_lowercase()))
        .collect();
    for name in named.iter().map(String::as_str).chain(HOP_BY_HOP_HEADERS) {
        all.remove(name);
    }
    all
}

fn trailers(answer: &LocalStatus) -> HeaderMap {
    let mut map = HeaderMap::new();
    map.insert(STATUS, HeaderValue::from(u16::from(answer.code.number())));
    if let Ok(text) = HeaderValue::from_str(&message(answer.message)) {
        map.insert("grpc-message", text);
    }
    push_back(&mut map, answer.pushback);
    map
}

fn push_back(map: &mut HeaderMap, pushback: Option<Pushback>) {
    let value = match pushback {
        None => return,
        Some(Pushback::Never) => HeaderValue::from_static("-1"),
        Some(Pushback::After(ms)) => HeaderValue::from(ms.ceil().clamp(0.0, 1e9) as u64),
    };
    map.entry(PUSHBACK).or_insert(value);
}

/// What an HTTP/2 error says of the attempt.
fn end_of(error: &h2::Error) -> AttemptEnd {
    if error.is_go_away() && error.is_remote() {
        // `h2` gives a GOAWAY only to streams above its last-stream-id: those surely did not run.
        return AttemptEnd::Unprocessed;
    }
    match error.reason() {
        Some(Reason::REFUSED_STREAM) if error.is_remote() => AttemptEnd::Unprocessed,
        Some(reason) if error.is_reset() && error.is_remote() => AttemptEnd::Reset(reason.into()),
        Some(_) if !error.is_io() => AttemptEnd::Malformed,
        _ => AttemptEnd::ConnectionLost,
    }
}

/// The status in a response's last headers.
fn status_of(last: &HeaderMap) -> Option<AttemptEnd> {
    let code = Code::parse(last.get(STATUS)?.as_bytes())?;
    Some(AttemptEnd::Status(code, last.get(PUSHBACK).map(|v| Pushback::parse(v.as_bytes()))))
}

fn is_grpc(headers: &HeaderMap) -> bool {
    let kind = headers.get("content-type").map(HeaderValue::as_bytes);
    let rest = kind.and_then(|kind| kind.strip_prefix(b"application/grpc"));
    rest.is_some_and(|rest| rest.is_empty() || matches!(rest[0], b'+' | b';' | b' '))
}

/// The value of a header that may come once only.
fn single<'h>(headers: &'h HeaderMap, name: &str) -> Result<Option<&'h HeaderValue>, ()> {
    let mut values = headers.get_all(name).iter();
    match (values.next(), values.next()) {
        (value, None) => Ok(value),
        _ => Err(()),
    }
}

fn refuse(code: Code, message: &'static str) -> LocalStatus {
    LocalStatus { code, message, pushback: None, outcome: CallOutcome::Failed }
}

/// What a client's head asks for; else what it is told.
fn asked(front: &GrpcFront, parts: &request::Parts, now: f64) -> Result<NewCall, LocalStatus> {
    let path = parts.uri.path();
    let route = front.routes().find(path).cloned().map(Rc::new);
    let route = route.ok_or_else(|| refuse(Code::UNIMPLEMENTED, "no such method here"))?;
    let given = single(&parts.headers, "grpc-timeout");
    let given = given.map_err(|()| refuse(Code::INTERNAL, "grpc-timeout comes twice"))?;
    let timeout_ms = match given {
        None => None,
        Some(value) => {
            let ms = value.to_str().ok().and_then(timeout::parse);
            Some(ms.ok_or_else(|| refuse(Code::INTERNAL, "grpc-timeout can't be read"))?)
        }
    };
    if let Some(name) = &route.key {
        // Without its key a repeat could take effect twice.
        if !single(&parts.headers, name).is_ok_and(|v| v.is_some_and(|v| !v.is_empty())) {
            return Err(refuse(Code::of(3), "the method needs one idempotency key"));
        }
    }
    let header = |name: &str| parts.headers.get(name).map(|v| v.as_bytes().to_vec());
    let object = object(&route.affinity, path, header);
    Ok(NewCall { route, object, timeout_ms, received_ms: now })
}

/// Passes one call through, to its one end.
pub async fn relay(
    front: Rc<GrpcFront>,
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
    client: IpAddr,
) {
    let (parts, body) = request.into_parts();
    if parts.method != Method::POST || !is_grpc(&parts.headers) {
        // Not gRPC at all: told in plain HTTP.
        let status = if parts.method == Method::POST { 415 } else { 405 };
        let mut answer = Response::new(());
        *answer.status_mut() = http::StatusCode::from_u16(status).expect("a status");
        let _ = respond.send_response(answer, true);
        return front.not_grpc();
    }
    let began = front.now();
    let mut down = Down::Head(respond);
    let new = match asked(&front, &parts, began) {
        Ok(new) => new,
        Err(answer) => {
            front.unrouted();
            return down.end(trailers(&answer));
        }
    };
    let pass = match admitted(&front, &parts, &new, client, &mut down).await {
        Admitted::In(pass) => pass,
        Admitted::Left => return,
        Admitted::Refused(ms) => {
            let (code, pushback) = (Code::UNAVAILABLE, (ms > 0.0).then_some(Pushback::After(ms)));
            let (message, outcome) = ("refused at the door", CallOutcome::Rejected);
            return down.end(trailers(&LocalStatus { code, message, pushback, outcome }));
        }
    };
    front.sync();
    let tracker = || MessageTracker::new(front.limits().message_bytes);
    let mut up = Up { body, done: false, kept: Vec::new(), replayable: true, tracker: tracker() };
    let (id, mut directive) = front.with(|calls| calls.begin(front.now(), new));
    let guard = Leaving { front: &front, id };
    let mut last: Option<HeaderMap> = None;
    loop {
        directive = match directive {
            Directive::StartAttempt(start) => {
                let came = attempt(&front, id, &start, &parts, &mut up, &mut down, began).await;
                front.sync();
                match came {
                    Came::Left => return,
                    Came::Abort(answer) => front.with(|calls| calls.abort(front.now(), id, answer)),
                    Came::AttemptEnd(end, headers) => {
                        last = headers;
                        front.with(|calls| calls.ended(front.now(), id, end))
                    }
                }
            }
            Directive::ForwardStatus { retry_after_ms, outcome } => {
                pass.iter().for_each(|pass| pass.ended(outcome));
                let mut headers = last.take().unwrap_or_default();
                push_back(&mut headers, retry_after_ms.map(Pushback::After));
                down.end(headers);
                break;
            }
            Directive::Respond(answer) => {
                pass.iter().for_each(|pass| pass.ended(answer.outcome));
                down.end(trailers(&answer));
                break;
            }
        };
    }
    std::mem::forget(guard);
}

/// What the door said in the end.
enum Admitted {
    /// It goes on; streams have no pass.
    In(Option<AdmissionPermit>),
    Refused(f64),
    Left,
}

/// Brings a unary call through the door.
async fn admitted(
    front: &Rc<GrpcFront>,
    parts: &request::Parts,
    new: &NewCall,
    client: IpAddr,
    down: &mut Down,
) -> Admitted {
    if new.route.kind != MethodKind::Unary {
        return Admitted::In(None);
    }
    let number = |name: &str| parts.headers.get(name)?.to_str().ok()?.parse().ok();
    let tenant = front.tenant(new.route.class, number);
    let clock = front.host.clock.clone();
    match front.door.enter(move || clock.now(), client, tenant, new.received_ms + new.allowed_ms()) {
        AdmissionResult::Admitted(pass) => Admitted::In(Some(pass)),
        AdmissionResult::Rejected(ms) => Admitted::Refused(ms),
        AdmissionResult::Queued(heard, pass) => tokio::select! {
            biased;
            heard = heard => match heard {
                Ok(None) => Admitted::In(Some(pass)),
                Ok(Some(ms)) => Admitted::Refused(ms),
                Err(_) => Admitted::Refused(0.0),
            },
            () = down.left() => Admitted::Left,
        },
    }
}

/// Guards against a panic, or a client that leaves, keeping the call open.
struct Leaving<'a> {
    front: &'a GrpcFront,
    id: CallId,
}

impl Drop for Leaving<'_> {
    fn drop(&mut self) {
        self.front.with(|calls| calls.left(self.front.now(), self.id));
    }
}

/// Makes one attempt, as long as its time allows.
async fn attempt(
    front: &Rc<GrpcFront>,
    id: CallId,
    start: &AttemptTarget,
    head: &request::Parts,
    up: &mut Up,
    down: &mut Down,
    began: f64,
) -> Came {
    let stopping = || LocalStatus {
        code: Code::UNAVAILABLE,
        message: "the proxy stops",
        pushback: None,
        outcome: CallOutcome::Failed,
    };
    if front.is_cut() {
        return Came::Abort(stopping());
    }
    let over = async {
        loop {
            let left = front.with(|calls| calls.due_ms(id)) - front.now();
            if left <= 0.0 {
                return;
            }
            tokio::time::sleep(duration_from_ms(left)).await;
        }
    };
    tokio::select! {
        biased;
        came = pass(front, id, start, head, up, down, began) => came,
        () = front.cut() => Came::Abort(stopping()),
        () = over => Came::AttemptEnd(AttemptEnd::TimedOut, None),
    }
}

async fn pass(
    front: &Rc<GrpcFront>,
    id: CallId,
    start: &AttemptTarget,
    head: &request::Parts,
    up: &mut Up,
    down: &mut Down,
    began: f64,
) -> Came {
    let Some(mut permit) = front.upstream.place(start.address, id, start.attempt) else {
        return Came::AttemptEnd(AttemptEnd::NoConnection { local: true }, None);
    };
    let ready = tokio::select! {
        biased;
        ready = permit.ready() => ready,
        () = down.left() => return Came::Left,
    };
    let mut send = match ready {
        Ok(send) => send,
        Err(ConnectionError::NotConnected { local }) => {
            return Came::AttemptEnd(AttemptEnd::NoConnection { local }, None)
        }
        Err(ConnectionError::Exhausted) => return Came::AttemptEnd(AttemptEnd::NotSent, None),
    };
    // Before the first byte: the list as it is by now, and what is left of the time.
    front.sync();
    let Some(left) = front.with(|calls| calls.may_start(front.now(), id)) else {
        return Came::AttemptEnd(AttemptEnd::NotSent, None);
    };
    let mut request = Request::new(());
    *request.method_mut() = Method::POST;
    *request.version_mut() = http::Version::HTTP_2;
    *request.uri_mut() = head.uri.clone();
    if head.uri.authority().is_none() {
        let path = head.uri.path();
        let uri =
            http::Uri::builder().scheme("http").authority(start.address.to_string()).path_and_query(path);
        *request.uri_mut() = uri.build().unwrap_or_default();
    }
    *request.headers_mut() = without_hop(&head.headers);
    let own = request.headers_mut();
    own.insert("te", HeaderValue::from_static("trailers"));
    if left.is_finite() {
        if let Ok(value) = HeaderValue::from_str(&timeout::format(left)) {
            own.insert("grpc-timeout", value);
        }
    }
    if start.attempt > 0 {
        own.insert(HeaderName::from_static("grpc-previous-rpc-attempts"), HeaderValue::from(start.attempt));
    }
    let (response, mut stream) = match send.send_request(request, false) {
        Ok(out) => out,
        Err(_) => {
            permit.spent();
            return Came::AttemptEnd(AttemptEnd::NotSent, None);
        }
    };
    drop(send);
    let came = tokio::select! {
        biased;
        came = receive(front, id, response, down, began) => came,
        came = transmit(front, id, up, &mut stream) => came,
    };
    if matches!(came, Came::AttemptEnd(AttemptEnd::Unprocessed, _)) {
        permit.spent();
    }
    if !matches!(came, Came::AttemptEnd(AttemptEnd::Status(..), _)) {
        // Whatever the backend still does for this attempt, nobody waits for it.
        stream.send_reset(Reason::CANCEL);
    }
    came
}

/// Sends what was kept, then what the client sends, as fast as the backend takes it. Ends only with the client.
async fn transmit(front: &GrpcFront, id: CallId, up: &mut Up, stream: &mut SendStream<Bytes>) -> Came {
    for chunk in up.kept.clone() {
        forward(stream, chunk).await;
    }
    while !up.done {
        match up.body.data().await {
            None => {
                if up.tracker.within() {
                    return Came::Abort(refuse(Code::INTERNAL, "the request was cut within a message"));
                }
                up.done = true;
            }
            Some(Err(_)) => return Came::Left,
            Some(Ok(chunk)) => {
                if let Err(bad) = up.tracker.feed(&chunk) {
                    return Came::Abort(match bad {
                        MessageError::Flag(_) => refuse(Code::INTERNAL, "a message's prefix can't be read"),
                        MessageError::TooLong(_) => refuse(Code::RESOURCE_EXHAUSTED, "a message is too long"),
                    });
                }
                let most = front.limits().replay_bytes;
                up.replayable = up.replayable && front.with(|calls| calls.keep(id, chunk.len(), most));
                let len = chunk.len();
                if up.replayable {
                    up.kept.push(chunk.clone());
                } else {
                    up.kept = Vec::new();
                }
                forward(stream, chunk).await;
                let _ = up.body.flow_control().release_capacity(len);
            }
        }
    }
    let _ = stream.send_data(Bytes::new(), true);
    std::future::pending().await
}

/// Sends a chunk by the backend's window. Where it takes no more, its own end of the stream says why.
async fn forward(stream: &mut SendStream<Bytes>, chunk: Bytes) {
    if !deliver(stream, chunk).await {
        std::future::pending().await
    }
}

/// Passes the response on as it comes, to its status.
async fn receive(
    front: &GrpcFront,
    id: CallId,
    response: ResponseFuture,
    down: &mut Down,
    began: f64,
) -> Came {
    let response = tokio::select! {
        biased;
        response = response => response,
        () = down.left() => return Came::Left,
    };
    let (parts, mut body) = match response {
        Ok(response) => response.into_parts(),
        Err(error) => return Came::AttemptEnd(end_of(&error), None),
    };
    let headers = without_hop(&parts.headers);
    if body.is_end_stream() {
        // "Trailers-only": the whole answer is its status, and the client has nothing of it yet.
        return match status_of(&headers) {
            Some(end) => Came::AttemptEnd(end, Some(headers)),
            None if parts.status != 200 => {
                Came::AttemptEnd(AttemptEnd::HttpStatus(parts.status.as_u16()), None)
            }
            None => Came::AttemptEnd(AttemptEnd::Truncated, None),
        };
    }
    if parts.status != 200 || !is_grpc(&headers) {
        return Came::AttemptEnd(AttemptEnd::HttpStatus(parts.status.as_u16()), None);
    }
    if !down.commit(headers) {
        return Came::Left;
    }
    front.with(|calls| calls.committed(front.now(), id));
    front.observe_head(front.now() - began);
    let mut tracker = MessageTracker::new(front.limits().message_bytes);
    loop {
        let chunk = tokio::select! {
            biased;
            chunk = body.data() => chunk,
            () = down.left() => return Came::Left,
        };
        let chunk = match chunk {
            None => break,
            Some(Err(error)) => return Came::AttemptEnd(end_of(&error), None),
            Some(Ok(chunk)) => chunk,
        };
        if tracker.feed(&chunk).is_err() {
            return Came::AttemptEnd(AttemptEnd::Malformed, None);
        }
        let len = chunk.len();
        let Down::Body(stream) = down else { return Came::Left };
        if !deliver(stream, chunk).await {
            return Came::Left;
        }
        let _ = body.flow_control().release_capacity(len);
    }
    let last = match body.trailers().await {
        Ok(Some(last)) => without_hop(&last),
        Ok(None) => return Came::AttemptEnd(AttemptEnd::Truncated, None),
        Err(error) => return Came::AttemptEnd(end_of(&error), None),
    };
    match status_of(&last) {
        // A status of OK after half a message is none.
        Some(AttemptEnd::Status(Code::OK, _)) if tracker.within() => {
            Came::AttemptEnd(AttemptEnd::Truncated, None)
        }
        Some(end) => Came::AttemptEnd(end, Some(last)),
        None => Came::AttemptEnd(AttemptEnd::Truncated, None),
    }
}

/// Sends a chunk by the receiver's window; false where it takes no more.
async fn deliver(stream: &mut SendStream<Bytes>, mut chunk: Bytes) -> bool {
    while !chunk.is_empty() {
        stream.reserve_capacity(chunk.len());
        if stream.capacity() == 0 {
            match poll_fn(|cx| stream.poll_capacity(cx)).await {
                Some(Ok(_)) => continue,
                _ => return false,
            }
        }
        let part = chunk.split_to(chunk.len().min(stream.capacity()));
        if stream.send_data(part, false).is_err() {
            return false;
        }
    }
    true
}
