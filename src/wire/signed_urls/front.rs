//! The front of signed URLs: what its clients' requests mean, and its responses.

use super::link::MediaLink;
use super::verifier::{SignedUri, TokenVerifier};
use super::TOKEN_PARAMETER;
use crate::engine::executor::Executor;
use crate::settings::PlatformSettings;
use crate::state::requests::{AdmitError, FinalResponse, IncomingRequest};
use crate::wire::byte_range::ByteRange;
use crate::wire::entity_tag::{list_contains, parse_single_tag, Comparison};
use crate::wire::front::{ConnectionLimits, Disposition, Front, ResponseContext};
use crate::wire::http::{HttpRequest, HttpResponse};
use bytes::Bytes;
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// Taken off a class's deadline for the way back to the client, in milliseconds.
const RETURN_MARGIN_MS: f64 = 40.0;
/// An odd multiplier, by which each count gives another id.
const ID_MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;

/// The front.
pub struct SignedUrlFront {
    limits: ConnectionLimits,
    scheme: String,
    /// Verifies the tokens.
    pub verifier: RefCell<TokenVerifier>,
    id_salt: u64,
    requests: Cell<u64>,
}

impl SignedUrlFront {
    /// A front whose links have `scheme`. `id_salt` keeps its requests' ids apart from those of its last start.
    pub fn new(limits: ConnectionLimits, scheme: String, verifier: TokenVerifier, id_salt: u64) -> Self {
        Self { limits, scheme, verifier: RefCell::new(verifier), id_salt, requests: Cell::new(0) }
    }

    /// Parses and verifies a request; else the response to it.
    fn authorize(
        &self,
        settings: &PlatformSettings,
        request: &HttpRequest,
        now: f64,
    ) -> Result<(Box<IncomingRequest>, ResponseContext), HttpResponse> {
        let (path, query) = request.target.split_once('?').unwrap_or((&request.target, ""));
        // One spelling: nothing is decoded, and no segment is empty or a dot.
        if path.contains('%') || path.split('/').skip(1).any(|s| matches!(s, "" | "." | "..")) {
            return Err(HttpResponse::status(400));
        }
        let link = MediaLink::parse(path, settings).map_err(|error| HttpResponse::status(error.status()))?;
        if !matches!(request.method.as_str(), "GET" | "HEAD") {
            return Err(HttpResponse::status(405).with_header("Allow", "GET, HEAD"));
        }
        let token = token(request, query)?;
        let host = field(request, "host")?.unwrap_or_default().to_ascii_lowercase();
        let requested = format!("{}://{host}{path}", self.scheme);
        // A pattern that leaves the group open would let a client name another one, and evade its purges.
        let excluded = format!("{}://{host}{}", self.scheme, link.in_other_group().path(settings));
        let uri = SignedUri { requested: &requested, excluded: &excluded };
        let renewal = self.verifier.borrow().verify(token, uri, now);
        let renewal = renewal.map_err(|error| HttpResponse::status(error.status()))?;
        let set_cookie = renewal.map(|renewal| renewal.cookie(path, self.scheme == "https"));
        let context = response_context(request, set_cookie)?;
        let request = self.incoming_request(&link, &context, settings, now);
        Ok((Box::new(request), context))
    }

    fn incoming_request(
        &self,
        link: &MediaLink,
        context: &ResponseContext,
        settings: &PlatformSettings,
        now: f64,
    ) -> IncomingRequest {
        self.requests.set(self.requests.get().wrapping_add(1));
        let id = self.id_salt.wrapping_add(self.requests.get().wrapping_mul(ID_MULTIPLIER));
        // With `If-Match` the bytes decide, so a cache must not answer that the client's copy is current.
        let condition = context.if_none_match.as_deref().filter(|_| context.if_match.is_none());
        IncomingRequest {
            id,
            id_text: format!("{id:016x}"),
            class: link.class,
            object: link.object,
            object_text: format!("{:016x}", link.object),
            part: link.part,
            group: link.group,
            size_kb: link.size_kb,
            deadline_ms: now + (settings.deadline_ms(link.class) - RETURN_MARGIN_MS).max(0.0),
            client_etag: condition.and_then(parse_single_tag),
            ..IncomingRequest::default()
        }
    }
}

fn field<'r>(request: &'r HttpRequest, name: &str) -> Result<Option<&'r str>, HttpResponse> {
    request.single_value(name).map_err(|_| HttpResponse::status(400))
}

/// What the response depends on besides its result (RFC 9110, sections 13 and 14).
fn response_context(
    request: &HttpRequest,
    set_cookie: Option<String>,
) -> Result<ResponseContext, HttpResponse> {
    let owned = |name| field(request, name).map(|value| value.map(String::from));
    Ok(ResponseContext {
        head_only: request.method == "HEAD",
        if_none_match: owned("if-none-match")?,
        range: owned("range")?.filter(|_| request.method == "GET"),
        if_range: owned("if-range")?,
        if_match: owned("if-match")?,
        set_cookie,
        session: None,
        session_token: None,
    })
}

/// The token of a request: the query has it and nothing else, since a signature covers no other parameter; a renewed
/// token comes as a cookie, without a query.
fn token<'r>(request: &'r HttpRequest, query: &'r str) -> Result<&'r str, HttpResponse> {
    match query.strip_prefix(TOKEN_PARAMETER).and_then(|rest| rest.strip_prefix('=')) {
        Some(token) if !token.contains(['&', ';', '%', '?', '#']) => Ok(token),
        None if query.is_empty() => cookie_token(request),
        _ => Err(HttpResponse::status(400)),
    }
}

/// The token of a request's cookie.
fn cookie_token(request: &HttpRequest) -> Result<&str, HttpResponse> {
    let fields = request.headers.iter().filter(|(name, _)| name == "cookie");
    let pairs = fields.flat_map(|(_, value)| value.split(';'));
    let mut tokens = pairs.filter_map(|pair| pair.trim().strip_prefix(TOKEN_PARAMETER)?.strip_prefix('='));
    match (tokens.next(), tokens.next()) {
        (Some(token), None) => Ok(token),
        (None, _) => Err(HttpResponse::status(403)),
        // Which of two is valid would be a guess that an attacker could make, too.
        (Some(_), Some(_)) => Err(HttpResponse::status(400)),
    }
}

/// The response with a copy's bytes, under the request's conditions (RFC 9110, section 13.2.2).
fn served(context: &ResponseContext, tag: &str, body: Bytes) -> HttpResponse {
    let matches =
        |list: &Option<String>, comparison| list.as_deref().map(|list| list_contains(list, tag, comparison));
    if matches(&context.if_match, Comparison::Strong) == Some(false) {
        return HttpResponse::status(412);
    }
    if matches(&context.if_none_match, Comparison::Weak) == Some(true) {
        return HttpResponse::status(304).with_entity_tag(tag);
    }
    // Another copy than the one that the client has a part of is sent in full.
    let is_other_copy =
        context.if_range.is_some() && matches(&context.if_range, Comparison::Strong) != Some(true);
    let length = body.len();
    let range = context.range.as_deref().filter(|_| !is_other_copy);
    let response = match range.map_or(ByteRange::All, |field| ByteRange::parse(field, length)) {
        ByteRange::All => HttpResponse { body, ..HttpResponse::status(200) },
        ByteRange::Part(from, to) => HttpResponse { body: body.slice(from..to), ..HttpResponse::status(206) }
            .with_header("Content-Range", format!("bytes {from}-{}/{length}", to - 1)),
        ByteRange::Unsatisfiable => {
            HttpResponse::status(416).with_header("Content-Range", format!("bytes */{length}"))
        }
    };
    let response = if tag.is_empty() { response } else { response.with_entity_tag(tag) };
    response.with_header("Accept-Ranges", "bytes").with_header("Content-Type", "application/octet-stream")
}

/// A rejection (RFC 9110, section 15.6.4), with the wait in whole seconds, at least one.
fn rejected(retry_after_ms: f64) -> HttpResponse {
    let seconds = (retry_after_ms / 1_000.0).ceil().max(1.0);
    HttpResponse::status(503).with_header("Retry-After", format!("{seconds}"))
}

impl Front for SignedUrlFront {
    fn limits(&self) -> &ConnectionLimits {
        &self.limits
    }

    fn interpret(&self, executor: &Rc<Executor>, request: &HttpRequest, now: f64) -> Disposition {
        match self.authorize(&executor.settings(), request, now) {
            Ok((request, context)) => Disposition::Forward(request, context),
            Err(response) => {
                executor.with(|engine| match response.status {
                    403 => engine.counters.forbidden_requests += 1,
                    400 => engine.counters.malformed_requests += 1,
                    _ => {}
                });
                Disposition::Respond(response)
            }
        }
    }

    fn respond(&self, context: &ResponseContext, result: FinalResponse) -> HttpResponse {
        let mut response = match result {
            FinalResponse::NotModified { tag } => HttpResponse::status(304).with_entity_tag(&tag),
            FinalResponse::Served { tag, body } => served(context, &tag.unwrap_or_default(), body),
            FinalResponse::Rejected { overdue: true, .. } | FinalResponse::Failed { overdue: true } => {
                HttpResponse::status(504)
            }
            FinalResponse::Rejected { retry_after_ms, .. } => rejected(retry_after_ms),
            FinalResponse::Failed { .. } => HttpResponse::status(502),
        };
        response.head_only = context.head_only;
        let is_success = matches!(response.status, 200 | 206 | 304);
        if let Some(cookie) = context.set_cookie.as_ref().filter(|_| is_success) {
            response = response.with_header("Set-Cookie", cookie.clone());
        }
        // The response to one client's token is for that client alone.
        response.with_header("Cache-Control", "private")
    }

    fn reject(&self, reason: AdmitError) -> HttpResponse {
        match reason {
            AdmitError::Full => rejected(0.0),
            AdmitError::Duplicate => HttpResponse::status(502),
        }
    }
}
