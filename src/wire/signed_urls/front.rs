//! The front for signed URLs.

use super::link::MediaPath;
use super::verifier::{SignedUri, TokenVerifier};
use super::TOKEN_PARAMETER;
use crate::engine::executor::Executor;
use crate::settings::PlatformSettings;
use crate::state::requests::{FinalResponse, IncomingRequest, SubmitError};
use crate::wire::byte_range::ByteRange;
use crate::wire::entity_tag::{list_contains, parse_single_tag, Comparison};
use crate::wire::front::{ConnectionLimits, Disposition, Front, ResponseContext};
use crate::wire::http::{HttpRequest, HttpResponse};
use bytes::Bytes;
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// The part of a class's deadline that is reserved for sending the response, in milliseconds.
const CLIENT_MARGIN_MS: f64 = 40.0;
/// Spreads consecutive counts over the id space. It is odd, so that distinct counts give distinct ids.
const ID_MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;

/// Authorizes requests by the token of their signed URL, and turns the engine's final responses into HTTP
/// responses.
pub struct SignedUrlFront {
    limits: ConnectionLimits,
    scheme: String,
    /// Verifies the tokens; its keys are replaced at a reload.
    pub verifier: RefCell<TokenVerifier>,
    id_salt: u64,
    request_count: Cell<u64>,
}

impl SignedUrlFront {
    /// Creates a front for URLs with `scheme`. A random `id_salt` makes request ids differ from those before
    /// a restart.
    pub fn new(limits: ConnectionLimits, scheme: String, verifier: TokenVerifier, id_salt: u64) -> Self {
        Self { limits, scheme, verifier: RefCell::new(verifier), id_salt, request_count: Cell::new(0) }
    }

    /// Parses a request and verifies its token; the error is the response to a rejected request.
    fn authorize(
        &self,
        settings: &PlatformSettings,
        request: &HttpRequest,
        now: f64,
    ) -> Result<(Box<IncomingRequest>, ResponseContext), HttpResponse> {
        let (path, query) = request.target.split_once('?').unwrap_or((&request.target, ""));
        // Only canonical paths: no percent-encoding, and no empty or dot segments.
        if path.contains('%') || path.split('/').skip(1).any(|s| matches!(s, "" | "." | "..")) {
            return Err(HttpResponse::status(400));
        }
        let media_path =
            MediaPath::parse(path, settings).map_err(|error| HttpResponse::status(error.status()))?;
        if !matches!(request.method.as_str(), "GET" | "HEAD") {
            return Err(HttpResponse::status(405).with_header("Allow", "GET, HEAD"));
        }
        let token = request_token(request, query)?;
        let host = single_header(request, "host")?.unwrap_or_default().to_ascii_lowercase();
        let requested = format!("{}://{host}{path}", self.scheme);
        // A token that also matches the next group is rejected: with a pattern over the group, a client could
        // choose a group that is not purged.
        let excluded = format!("{}://{host}{}", self.scheme, media_path.in_next_group().path());
        let uri = SignedUri { requested: &requested, excluded: &excluded };
        let renewal = self.verifier.borrow().verify(token, uri, now);
        let renewal = renewal.map_err(|error| HttpResponse::status(error.status()))?;
        let set_cookie = renewal.map(|renewal| renewal.cookie(path, self.scheme == "https"));
        let context = response_context(request, set_cookie)?;
        let request = self.incoming_request(media_path, &context, now);
        Ok((Box::new(request), context))
    }

    fn incoming_request(
        &self,
        media_path: MediaPath,
        context: &ResponseContext,
        now: f64,
    ) -> IncomingRequest {
        self.request_count.set(self.request_count.get().wrapping_add(1));
        let id = self.id_salt.wrapping_add(self.request_count.get().wrapping_mul(ID_MULTIPLIER));
        // `If-Match` takes precedence, so a cache must not answer `If-None-Match` with "not modified".
        let condition = context.if_none_match.as_deref().filter(|_| context.if_match.is_none());
        IncomingRequest {
            id,
            id_text: format!("{id:016x}"),
            object: media_path.object,
            object_text: format!("{:016x}", media_path.object),
            part: media_path.part,
            group: media_path.group,
            size_kb: media_path.size_kb,
            deadline_ms: now + (media_path.class.deadline_ms() - CLIENT_MARGIN_MS).max(0.0),
            class: media_path.class,
            client_etag: condition.and_then(parse_single_tag),
            ..IncomingRequest::default()
        }
    }
}

fn single_header<'r>(request: &'r HttpRequest, name: &str) -> Result<Option<&'r str>, HttpResponse> {
    request.single_value(name).map_err(|_| HttpResponse::status(400))
}

/// The conditions and the range of a request (RFC 9110, sections 13 and 14), and the cookie for its response.
fn response_context(
    request: &HttpRequest,
    set_cookie: Option<String>,
) -> Result<ResponseContext, HttpResponse> {
    let header_value = |name| single_header(request, name).map(|value| value.map(String::from));
    Ok(ResponseContext {
        head_only: request.method == "HEAD",
        if_none_match: header_value("if-none-match")?,
        range: header_value("range")?.filter(|_| request.method == "GET"),
        if_range: header_value("if-range")?,
        if_match: header_value("if-match")?,
        set_cookie,
        session: None,
        session_token: None,
    })
}

/// The token of a request, from the query or, if that is empty, from the cookie that carries a renewed token.
/// Other query parameters are rejected, as the signature does not cover them.
fn request_token<'r>(request: &'r HttpRequest, query: &'r str) -> Result<&'r str, HttpResponse> {
    match query.strip_prefix(TOKEN_PARAMETER).and_then(|rest| rest.strip_prefix('=')) {
        Some(token) if !token.contains(['&', ';', '%', '?', '#']) => Ok(token),
        None if query.is_empty() => cookie_token(request),
        _ => Err(HttpResponse::status(400)),
    }
}

/// The token from the `Cookie` fields, which must contain exactly one.
fn cookie_token(request: &HttpRequest) -> Result<&str, HttpResponse> {
    let fields = request.headers.iter().filter(|(name, _)| name == "cookie");
    let pairs = fields.flat_map(|(_, value)| value.split(';'));
    let mut tokens = pairs.filter_map(|pair| pair.trim().strip_prefix(TOKEN_PARAMETER)?.strip_prefix('='));
    match (tokens.next(), tokens.next()) {
        (Some(token), None) => Ok(token),
        (None, _) => Err(HttpResponse::status(403)),
        // Ambiguous: one of the two tokens may have been set by an attacker.
        (Some(_), Some(_)) => Err(HttpResponse::status(400)),
    }
}

/// The response with an object's content, after evaluating the preconditions (RFC 9110, section 13.2.2).
fn content_response(context: &ResponseContext, tag: &str, body: Bytes) -> HttpResponse {
    let matches =
        |list: &Option<String>, comparison| list.as_deref().map(|list| list_contains(list, tag, comparison));
    if matches(&context.if_match, Comparison::Strong) == Some(false) {
        return HttpResponse::status(412);
    }
    if matches(&context.if_none_match, Comparison::Weak) == Some(true) {
        return HttpResponse::status(304).with_entity_tag(tag);
    }
    // If `If-Range` does not match the entity tag, the range is ignored and the full content is sent.
    let if_range_failed =
        context.if_range.is_some() && matches(&context.if_range, Comparison::Strong) != Some(true);
    let length = body.len();
    let range = context.range.as_deref().filter(|_| !if_range_failed);
    let response = match range.map_or(ByteRange::All, |range| ByteRange::parse(range, length)) {
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

/// A 503 response (RFC 9110, section 15.6.4); `Retry-After` is rounded up to whole seconds, at least one.
fn unavailable_response(retry_after_ms: f64) -> HttpResponse {
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
            FinalResponse::NotModified { entity_tag } => {
                HttpResponse::status(304).with_entity_tag(&entity_tag)
            }
            FinalResponse::Served { entity_tag, body } => {
                content_response(context, &entity_tag.unwrap_or_default(), body)
            }
            FinalResponse::Rejected { overdue: true, .. } | FinalResponse::Failed { overdue: true } => {
                HttpResponse::status(504)
            }
            FinalResponse::Rejected { retry_after_ms, .. } => unavailable_response(retry_after_ms),
            FinalResponse::Failed { .. } => HttpResponse::status(502),
        };
        response.head_only = context.head_only;
        let is_success = matches!(response.status, 200 | 206 | 304);
        if let Some(cookie) = context.set_cookie.as_ref().filter(|_| is_success) {
            response = response.with_header("Set-Cookie", cookie.clone());
        }
        // Shared caches must not store a response that depends on a client's token.
        response.with_header("Cache-Control", "private")
    }

    fn reject(&self, reason: SubmitError) -> HttpResponse {
        match reason {
            SubmitError::Full => unavailable_response(0.0),
            SubmitError::Duplicate => HttpResponse::status(502),
        }
    }
}
