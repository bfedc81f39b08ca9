//! The front of the platform's HTTP API: parses requests and builds responses.

use super::classification::{Classification, RequestClassifier, Target};
use super::entity_tag::parse_single_tag;
use super::front::{ConnectionLimits, Disposition, Front, ResponseContext};
use super::http::{HttpRequest, HttpResponse};
use super::platform_path::PlatformPath;
use crate::engine::executor::Executor;
use crate::settings::PlatformSettings;
use crate::state::requests::{FinalResponse, IncomingRequest, SubmitError, FULL_RETRY_AFTER_MS};
use crate::text::parse_hex16;
use std::cell::RefCell;
use std::rc::Rc;
use thiserror::Error;

/// The request target of the liveness check.
const LIVENESS_TARGET: &str = "/alive";
/// Subtracted from a client's wait to get the request's deadline, in milliseconds: allows for the network
/// round trip and the transfer of the response.
const CLIENT_MARGIN_MS: f64 = 40.0;
/// The largest share of a client's wait that the margin takes, so that a short wait leaves time for an
/// attempt.
const MAX_MARGIN_SHARE: f64 = 0.1;
/// The highest number of a part.
const MAX_PART: u32 = 65_535;
/// The highest number of a group.
const MAX_GROUP: u32 = 255;
/// The longest time that a client may wait, in milliseconds.
const MAX_CLIENT_WAIT_MS: f64 = 3_600_000.0;
/// The largest part, in KB.
const MAX_SIZE_KB: f64 = 10_000_000.0;
/// The longest idempotency key, in bytes.
const MAX_IDEMPOTENCY_KEY: usize = 64;
/// The longest text of a decimal number, in bytes.
const MAX_DECIMAL: usize = 24;

/// The platform's header fields; names of request fields are in lower case.
mod header_field {
    pub const REQUEST_ID: &str = "x-call-id";
    pub const CLIENT_WAIT: &str = "x-patience-ms";
    pub const SIZE: &str = "x-heap-kb";
    pub const IDEMPOTENCY_KEY: &str = "x-dedupe-key";
    pub const IF_NONE_MATCH: &str = "if-none-match";
    pub const RETRY_AFTER: &str = "X-Come-Back-Ms";
}

/// The connection limits of the platform's clients: a connection without a request must be closed within 3 s,
/// and clients close an idle connection after 4 s themselves.
pub fn limits(connections: usize) -> ConnectionLimits {
    ConnectionLimits {
        connections,
        first_ms: 2_500.0,
        idle_ms: 6_000.0,
        head_ms: 2_500.0,
        body_ms: 2_500.0,
        one_at_a_time: true,
        ..ConnectionLimits::default()
    }
}

/// Why a request is rejected without being forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
enum RequestError {
    /// A required value is missing, or a value is invalid or out of bounds.
    #[error("a value of the request is missing, invalid or out of bounds")]
    Malformed,
    /// Its target or class is unknown.
    #[error("unknown target or class")]
    NotFound,
    /// Its class requires another method.
    #[error("method is not {0}")]
    Method(&'static str),
}

impl From<RequestError> for HttpResponse {
    fn from(error: RequestError) -> Self {
        match error {
            RequestError::Malformed => Self::closing(400),
            RequestError::NotFound => Self::closing(404),
            RequestError::Method(allowed) => Self::closing(405).with_header("Allow", allowed),
        }
    }
}

/// The front of the platform's HTTP API.
pub struct Platform {
    limits: ConnectionLimits,
    /// Classifies requests by an operator's rules; `None` selects [`PlatformPath`].
    classifier: RefCell<Option<Rc<dyn RequestClassifier>>>,
}

impl Platform {
    /// Creates a front that classifies requests by [`PlatformPath`].
    pub fn new(limits: ConnectionLimits) -> Self {
        Self { limits, classifier: RefCell::default() }
    }

    /// Sets the classifier of new requests; `None` selects [`PlatformPath`].
    pub fn set_classifier(&self, classifier: Option<Rc<dyn RequestClassifier>>) {
        *self.classifier.borrow_mut() = classifier;
    }

    /// Parses a request. Values are validated strictly: an endpoint that receives a malformed value closes
    /// the connection, which fails all requests on it.
    fn parse(
        &self,
        settings: &PlatformSettings,
        request: &HttpRequest,
        now: f64,
    ) -> Result<IncomingRequest, RequestError> {
        let classifier = self.classifier.borrow().clone();
        let classification = match &classifier {
            Some(classifier) => classifier.classify(request),
            None => PlatformPath.classify(request),
        };
        let Target { class, object, part, group } = match classification {
            Classification::Target(target) => target,
            Classification::NoMatch => return Err(RequestError::NotFound),
            // An unknown class takes precedence over any other error.
            Classification::Malformed if classifier.is_none() => {
                let class = settings.class(PlatformPath::class_text(request));
                return Err(class.map_or(RequestError::NotFound, |_| RequestError::Malformed));
            }
            Classification::Malformed => return Err(RequestError::Malformed),
        };
        let class = settings.class(&class).ok_or(RequestError::NotFound)?;
        if part > MAX_PART || group > MAX_GROUP {
            return Err(RequestError::Malformed);
        }
        check_method(request, class.is_write())?;
        let id_text = field(request, header_field::REQUEST_ID)?.ok_or(RequestError::Malformed)?;
        let id = parse_hex16(id_text).ok_or(RequestError::Malformed)?;
        let wait_ms = decimal_field(request, header_field::CLIENT_WAIT, MAX_CLIENT_WAIT_MS)?
            .unwrap_or_else(|| class.deadline_ms());
        let size_kb = decimal_field(request, header_field::SIZE, MAX_SIZE_KB)?.unwrap_or(0.0);
        let key = idempotency_key(request)?;
        // Without the key, a retried request could take effect twice.
        if key.is_none() && class.has_idempotency_key() {
            return Err(RequestError::Malformed);
        }
        Ok(IncomingRequest {
            id,
            id_text: id_text.to_string(),
            class: class.clone(),
            object,
            object_text: match classifier {
                // In the platform's path form, the object's text is forwarded as received.
                None => PlatformPath::object_text(request).to_string(),
                Some(_) => format!("{object:016x}"),
            },
            part,
            group,
            size_kb,
            deadline_ms: now + wait_ms - CLIENT_MARGIN_MS.min(MAX_MARGIN_SHARE * wait_ms),
            idempotency_key: key.map(String::from),
            repeatable_until_ms: None,
            client_etag: field(request, header_field::IF_NONE_MATCH)?.and_then(parse_single_tag),
            body: request.body.clone(),
            reservation: request.reservation.clone(),
            client: None,
        })
    }
}

/// Checks the method: writes are PUT with a body, reads are GET without one.
fn check_method(request: &HttpRequest, is_write: bool) -> Result<(), RequestError> {
    let method = if is_write { "PUT" } else { "GET" };
    if request.method != method {
        return Err(RequestError::Method(method));
    }
    if !is_write && !request.body.is_empty() {
        return Err(RequestError::Malformed);
    }
    Ok(())
}

fn field<'r>(request: &'r HttpRequest, name: &str) -> Result<Option<&'r str>, RequestError> {
    request.single_value(name).map_err(|_| RequestError::Malformed)
}

/// A field with a decimal number up to `max`: plain digits and at most one point, without sign or exponent.
fn decimal_field(request: &HttpRequest, name: &str, max: f64) -> Result<Option<f64>, RequestError> {
    let Some(text) = field(request, name)? else { return Ok(None) };
    let is_plain =
        (1..=MAX_DECIMAL).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    let number = text.parse().ok().filter(|number: &f64| is_plain && *number <= max);
    number.map(Some).ok_or(RequestError::Malformed)
}

/// The idempotency key: letters, digits, `-` and `_`.
fn idempotency_key(request: &HttpRequest) -> Result<Option<&str>, RequestError> {
    let Some(key) = field(request, header_field::IDEMPOTENCY_KEY)? else { return Ok(None) };
    let is_plain = key.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-' || b == b'_');
    let is_valid = is_plain && (1..=MAX_IDEMPOTENCY_KEY).contains(&key.len());
    is_valid.then_some(Some(key)).ok_or(RequestError::Malformed)
}

/// A rejection with the delay after which the client may retry.
fn rejected(retry_after_ms: f64) -> HttpResponse {
    HttpResponse::status(503).with_header(header_field::RETRY_AFTER, format!("{}", retry_after_ms.ceil()))
}

impl Front for Platform {
    fn limits(&self) -> &ConnectionLimits {
        &self.limits
    }

    fn interpret(&self, executor: &Rc<Executor>, request: &HttpRequest, now: f64) -> Disposition {
        if request.target == LIVENESS_TARGET {
            return Disposition::Respond(match request.method.as_str() {
                "GET" => HttpResponse::status(200),
                _ => HttpResponse::status(405).with_header("Allow", "GET"),
            });
        }
        match self.parse(&executor.settings(), request, now) {
            Ok(request) => Disposition::Forward(Box::new(request), ResponseContext::default()),
            Err(error) => Disposition::Respond(error.into()),
        }
    }

    fn respond(&self, _: &ResponseContext, result: FinalResponse) -> HttpResponse {
        match result {
            FinalResponse::Served { entity_tag, body } => {
                let response = HttpResponse { body, ..HttpResponse::status(200) };
                match entity_tag {
                    Some(tag) => response.with_entity_tag(&tag),
                    None => response,
                }
            }
            FinalResponse::NotModified { entity_tag } => {
                HttpResponse::status(304).with_entity_tag(&entity_tag)
            }
            FinalResponse::Rejected { retry_after_ms, .. } => rejected(retry_after_ms),
            FinalResponse::Failed { overdue } => HttpResponse::status(if overdue { 504 } else { 502 }),
        }
    }

    fn reject(&self, reason: SubmitError) -> HttpResponse {
        match reason {
            SubmitError::Duplicate => HttpResponse::status(409),
            SubmitError::Full => rejected(FULL_RETRY_AFTER_MS),
        }
    }
}
