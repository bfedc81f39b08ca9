//! The platform's front: what its clients' requests mean, and how its answers are worded.

use super::entity_tag::parse_single;
use super::front::{ConnectionLimits, Disposition, Front, ResponseContext};
use super::http::{HttpRequest, HttpResponse};
use crate::engine::executor::Executor;
use crate::rules::table::{Classification, Rules, Target};
use crate::settings::PlatformSettings;
use crate::state::requests::{AdmitError, FinalResponse, IncomingRequest};
use crate::text::parse_hex16;
use std::cell::RefCell;
use std::rc::Rc;

/// Taken off a client's patience, in milliseconds: the ways to and from the client, and the answer's bytes ...
const MARGIN_MS: f64 = 40.0;
/// ... and the most of it as a share: guards impatient clients against a margin that leaves no time at all.
const MARGIN_SHARE: f64 = 0.1;
/// The highest number of a part.
const MAX_PART: u32 = 65_535;
/// The highest number of a group.
const MAX_GROUP: u32 = 255;
/// The longest patience, in milliseconds.
const MAX_PATIENCE: f64 = 3_600_000.0;
/// The largest part, in KB.
const MAX_SIZE: f64 = 10_000_000.0;
/// The longest idempotency key.
const MAX_KEY: usize = 64;
/// How long a client stays away when the request table is full, in milliseconds.
const FULL_WAIT_MS: f64 = 300.0;

/// The bounds of the platform's clients: one that sends nothing of use is owed an end within 3 s of connecting,
/// and those that ask end an idle connection after 4 s themselves.
pub fn limits(connections: usize) -> ConnectionLimits {
    let (first_ms, head_ms, body_ms, idle_ms) = (2_500.0, 2_500.0, 2_500.0, 6_000.0);
    ConnectionLimits {
        connections,
        first_ms,
        idle_ms,
        head_ms,
        body_ms,
        one_at_a_time: true,
        ..ConnectionLimits::default()
    }
}

/// The platform's front.
pub struct Platform {
    limits: ConnectionLimits,
    /// What says which class a request is of, and its keys; without it the platform's own spelling does.
    rules: RefCell<Option<Rc<Rules>>>,
}

impl Platform {
    /// A front with these bounds.
    pub fn new(limits: ConnectionLimits) -> Self {
        Self { limits, rules: RefCell::default() }
    }

    /// Takes other rules for what requests ask for.
    pub fn set_rules(&self, rules: Option<Rc<Rules>>) {
        *self.rules.borrow_mut() = rules;
    }

    /// What a request asks for, as the platform spells it.
    pub fn target(request: &HttpRequest) -> Classification {
        let path = request.target.split('?').next().unwrap_or_default();
        let Some(mut steps) = path.strip_prefix("/ops/").map(|rest| rest.split('/')) else {
            return Classification::NoMatch;
        };
        let (Some(class), Some(object)) = (steps.next(), steps.next()) else {
            return Classification::NoMatch;
        };
        let part = match steps.next().map(|text| text.strip_prefix("slice-")) {
            None => Some(0),
            Some(None) => return Classification::NoMatch,
            Some(Some(digits)) => whole(digits, u32::MAX),
        };
        if steps.next().is_some() {
            return Classification::NoMatch;
        }
        let group = match request.single("x-set") {
            Ok(text) => text.map_or(Some(0), |text| whole(text, u32::MAX)),
            Err(_) => None,
        };
        match (parse_hex16(object), part, group) {
            (Some(object), Some(part), Some(group)) => {
                Classification::Target(Target { class: class.to_string(), object, part, group })
            }
            _ => Classification::Malformed,
        }
    }

    /// What a request asks for. Guards the endpoints, and all that shares a connection with it, against what they
    /// could not read: nothing is passed on that is not spelled plainly and within its bounds.
    fn ask(
        &self,
        env: &PlatformSettings,
        request: &HttpRequest,
        now: f64,
    ) -> Result<Box<IncomingRequest>, HttpResponse> {
        let bad = || HttpResponse::closing(400);
        let unknown = || HttpResponse::closing(404);
        let rules = self.rules.borrow().clone();
        let said = match &rules {
            Some(rules) => rules.classify(request, &mut 0),
            None => Self::target(request),
        };
        let Target { class, object, part, group } = match said {
            Classification::Target(target) => target,
            Classification::Malformed => {
                // A class that nobody knows is told before what else is wrong.
                let class = request.target.split(['/', '?']).nth(2).unwrap_or_default();
                let known = rules.is_some() || env.class_index(class).is_some();
                return Err(if known { bad() } else { unknown() });
            }
            Classification::NoMatch => return Err(unknown()),
        };
        let class = env.class_index(&class).ok_or_else(unknown)?;
        if part > MAX_PART || group > MAX_GROUP {
            return Err(bad());
        }
        // The platform's own spelling goes on as it came.
        let object_text = match &rules {
            None => request.target.split(['/', '?']).nth(3).unwrap_or_default().to_string(),
            Some(_) => format!("{object:016x}"),
        };
        let writes = env.is_write(class);
        let method = if writes { "PUT" } else { "GET" };
        if request.method != method {
            return Err(HttpResponse::closing(405).with("Allow", method));
        }
        if !writes && !request.body.is_empty() {
            return Err(bad());
        }
        let header = |name| request.single(name).map_err(|_| bad());
        let id_text = header("x-call-id")?.ok_or_else(bad)?;
        let id = parse_hex16(id_text).ok_or_else(bad)?;
        let number = |name, most| match header(name)? {
            None => Ok(None),
            Some(text) => decimal(text).filter(|v| *v <= most).map(Some).ok_or_else(bad),
        };
        let patience = number("x-patience-ms", MAX_PATIENCE)?.unwrap_or_else(|| env.deadline_ms(class));
        let size_kb = number("x-heap-kb", MAX_SIZE)?.unwrap_or(0.0);
        let key = header("x-dedupe-key")?;
        let plain = |key: &str| key.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-' || b == b'_');
        if key.is_some_and(|key| key.is_empty() || key.len() > MAX_KEY || !plain(key)) {
            return Err(bad());
        }
        // Without its key a repeat could take effect twice.
        if key.is_none() && env.is_keyed(class) {
            return Err(bad());
        }
        Ok(Box::new(IncomingRequest {
            id,
            id_text: id_text.to_string(),
            class,
            object,
            object_text,
            part,
            group,
            size_kb,
            deadline_ms: now + patience - MARGIN_MS.min(MARGIN_SHARE * patience),
            key: key.map(String::from),
            client_etag: header("if-none-match")?.and_then(parse_single),
            body: request.body.clone(),
            client: None,
        }))
    }
}

/// A whole number in plain digits.
fn whole(text: &str, most: u32) -> Option<u32> {
    let plain = (1..=9).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_digit());
    plain.then(|| text.parse().ok())?.filter(|n| *n <= most)
}

/// A number in plain digits with at most one point: no sign, no exponent, no name of what is not a number.
fn decimal(text: &str) -> Option<f64> {
    let plain = (1..=24).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    plain.then(|| text.parse().ok())?
}

fn refused(wait_ms: f64) -> HttpResponse {
    HttpResponse::status(503).with("X-Come-Back-Ms", format!("{}", wait_ms.ceil()))
}

impl Front for Platform {
    fn limits(&self) -> &ConnectionLimits {
        &self.limits
    }

    fn interpret(&self, host: &Rc<Executor>, request: &HttpRequest, now: f64) -> Disposition {
        if request.target == "/alive" {
            return Disposition::Respond(match request.method.as_str() {
                "GET" => HttpResponse::status(200),
                _ => HttpResponse::status(405).with("Allow", "GET"),
            });
        }
        match self.ask(&host.settings(), request, now) {
            Ok(ask) => Disposition::Forward(ask, ResponseContext::default()),
            Err(answer) => Disposition::Respond(answer),
        }
    }

    fn respond(&self, _: &ResponseContext, answer: FinalResponse) -> HttpResponse {
        match answer {
            FinalResponse::Served { tag, body } => {
                let answer = HttpResponse { body, ..HttpResponse::status(200) };
                match tag {
                    Some(tag) => answer.with("ETag", format!("\"{tag}\"")),
                    None => answer,
                }
            }
            FinalResponse::NotModified { tag } => {
                HttpResponse::status(304).with("ETag", format!("\"{tag}\""))
            }
            FinalResponse::Rejected { retry_after_ms: wait_ms, .. } => refused(wait_ms),
            FinalResponse::Failed { overdue } => HttpResponse::status(if overdue { 504 } else { 502 }),
        }
    }

    fn reject(&self, reason: AdmitError) -> HttpResponse {
        match reason {
            AdmitError::Duplicate => HttpResponse::status(409),
            AdmitError::Full => refused(FULL_WAIT_MS),
        }
    }
}
