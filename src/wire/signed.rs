//! The front of signed URLs: URI Signing for CDNI (RFC 9246).
//!
//! A link is `/media/CLASS/GROUP/OBJECT/PART` or the same with the part's size in KB as a last step, and one
//! parameter, `URISigningPackage`, with a signed JWT. Nothing else of a request says what is fetched. A path
//! has one spelling only, so that a signature for one object can't be stretched to another.

use super::front::{ConnectionLimits, Disposition, Front, ResponseContext};
use super::http::{HttpRequest, HttpResponse};
use super::keys::{Key, KeyRing};
use super::platform::bare_tag;
use crate::engine::executor::Executor;
use crate::settings::PlatformSettings;
use crate::state::requests::{AdmitError, FinalResponse, IncomingRequest};
use crate::text::parse_hex16;
use jsonwebtoken::{decode, decode_header, encode, Header, Validation};
use regex::RegexBuilder;
use serde::Deserialize;
use sha2::{Digest, Sha256};
use simd_json::prelude::*;
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// Name of the parameter that holds the token.
pub const PACKAGE: &str = "URISigningPackage";
/// Taken off a class's deadline for the way back to the client, in milliseconds.
const MARGIN_MS: f64 = 40.0;
/// The most memory that a token's regular expression may take, in bytes.
const MAX_REGEX: usize = 65_536;
/// Claims that this front understands and checks.
const UNDERSTOOD: [&str; 10] =
    ["iss", "exp", "nbf", "iat", "sub", "cdniv", "cdniuc", "cdniets", "cdnistt", "cdnistd"];
/// The longest time that a renewed token may be good for, in seconds.
const MAX_RENEWAL: f64 = 86_400.0;
/// The transports of renewed tokens: none, and a cookie.
const NO_RENEWAL: f64 = 0.0;
const BY_COOKIE: f64 = 1.0;

/// Why a token opens nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denied {
    /// It can't be read.
    Malformed,
    /// It can be read, and is not good for this request at this time.
    Forbidden,
}

impl Denied {
    fn status(self) -> u16 {
        match self {
            Self::Malformed => 400,
            Self::Forbidden => 403,
        }
    }
}

/// The claims that matter here. Those that must be refused where they can't be checked are read as present.
#[derive(Debug, Deserialize)]
struct Claims {
    iss: Option<String>,
    exp: Option<f64>,
    nbf: Option<f64>,
    aud: Option<Present>,
    jti: Option<Present>,
    cdniv: Option<f64>,
    cdnicrit: Option<String>,
    cdniip: Option<Present>,
    cdniuc: Option<String>,
    cdniets: Option<f64>,
    cdnistt: Option<f64>,
    cdnistd: Option<f64>,
}

/// A value of any type, of which only its presence matters.
#[derive(Debug, Deserialize)]
#[serde(from = "serde::de::IgnoredAny")]
struct Present;

impl From<serde::de::IgnoredAny> for Present {
    fn from(_: serde::de::IgnoredAny) -> Self {
        Self
    }
}

/// A token that is to take another's place, good for some seconds more.
#[derive(Clone, Debug, PartialEq)]
pub struct Renewal {
    /// The token.
    pub token: String,
    /// For how many seconds it is good.
    pub seconds: f64,
    /// How many steps of the path its cookie is for; 0 is all paths.
    pub depth: usize,
}

impl Renewal {
    /// The cookie that carries it to a client that asked for a path.
    fn cookie(&self, path: &str, secure: bool) -> String {
        let steps: Vec<&str> = path.split('/').skip(1).take(self.depth).collect();
        let secure = if secure { "; Secure" } else { "" };
        let (steps, seconds) = (steps.join("/"), self.seconds.floor());
        format!("{PACKAGE}={}; Path=/{steps}; Max-Age={seconds}; HttpOnly{secure}", self.token)
    }
}

/// What tokens are checked against.
#[derive(Debug)]
pub struct Verifier {
    /// The keys.
    pub keys: KeyRing,
    /// The one issuer whose links are taken.
    pub issuer: String,
    /// How far clocks may be apart, in milliseconds.
    pub leeway_ms: f64,
}

impl Verifier {
    /// Whether a token opens `uri` at `now`, and what renews it, if it asks for that. `also` is a URI that the
    /// same token must not open.
    pub fn check(
        &self,
        token: &str,
        uri: &str,
        also: Option<&str>,
        now: f64,
    ) -> Result<Option<Renewal>, Denied> {
        let mut parts = token.split('.');
        let shape = (parts.next(), parts.next(), parts.next(), parts.next());
        let (Some(head), Some(payload), Some(_), None) = shape else { return Err(Denied::Malformed) };
        // A header that names what must be understood is refused, as RFC 7515 asks: nothing is understood.
        if header_is_critical(head)? {
            return Err(Denied::Forbidden);
        }
        let header = decode_header(token).map_err(|_| Denied::Forbidden)?;
        let kid = header.kid.ok_or(Denied::Forbidden)?;
        // Guards against a token that names its own way of being checked: the key alone says how.
        let found = self.keys.find(&kid, now).find_map(|key| {
            let mut how = Validation::new(key.algorithm);
            (how.validate_exp, how.validate_nbf, how.validate_aud) = (false, false, false);
            how.required_spec_claims.clear();
            let same = header.alg == key.algorithm;
            same.then(|| decode::<Claims>(token, &key.key, &how).ok()).flatten()
        });
        let claims = found.ok_or(Denied::Forbidden)?.claims;
        self.check_claims(&claims, uri, also, now)?;
        match claims.cdnistt {
            None | Some(NO_RENEWAL) => Ok(None),
            Some(BY_COOKIE) => {
                let renewal =
                    self.keys.signer(&kid).and_then(|(kid, key)| renew(payload, &claims, key, kid, now));
                renewal.ok_or(Denied::Forbidden).map(Some)
            }
            Some(_) => Err(Denied::Forbidden),
        }
    }

    fn check_claims(&self, claims: &Claims, uri: &str, also: Option<&str>, now: f64) -> Result<(), Denied> {
        let no = Err(Denied::Forbidden);
        // A version that is not told is the first; any other is not understood.
        if claims.cdniv.is_some_and(|version| version != 1.0) {
            return no;
        }
        let critical = claims.cdnicrit.iter().flat_map(|names| names.split(',')).map(str::trim);
        if critical.into_iter().any(|name| !UNDERSTOOD.contains(&name)) {
            return no;
        }
        // A nonce, an audience and an address can't be checked here: RFC 9246 has them refused, not skipped.
        let unchecked = [&claims.aud, &claims.jti, &claims.cdniip];
        if unchecked.iter().any(|claim| claim.is_some()) || claims.iss.as_deref() != Some(&self.issuer) {
            return no;
        }
        let Some(expires) = claims.exp else { return no };
        if now >= expires * 1_000.0 + self.leeway_ms {
            return no;
        }
        if claims.nbf.is_some_and(|from| now < from * 1_000.0 - self.leeway_ms) {
            return no;
        }
        let Some(container) = &claims.cdniuc else { return no };
        if opens(container, uri)? && !also.map_or(Ok(false), |other| opens(container, other))? {
            Ok(())
        } else {
            no
        }
    }
}

/// The token that takes another's place: the same claims, with a later end (RFC 9246, signed token renewal).
fn renew(payload: &str, claims: &Claims, key: &Key, kid: &str, now: f64) -> Option<Renewal> {
    let seconds = claims.cdniets.filter(|s| (1.0..=MAX_RENEWAL).contains(s))?;
    let depth = claims.cdnistd.unwrap_or(0.0);
    if !(0.0..=16.0).contains(&depth) || depth.fract() != 0.0 {
        return None;
    }
    let mut text = super::keys::base64url(payload)?;
    let mut body = simd_json::to_owned_value(&mut text).ok()?;
    body.try_insert("exp", (now / 1_000.0 + seconds).floor() as u64);
    let header = Header { kid: Some(kid.to_string()), ..Header::new(key.algorithm) };
    let token = encode(&header, &body, key.signing.as_ref()?).ok()?;
    Some(Renewal { token, seconds, depth: depth as usize })
}

fn header_is_critical(head: &str) -> Result<bool, Denied> {
    #[derive(Deserialize)]
    struct Head {
        crit: Option<Present>,
    }
    let mut text = super::keys::base64url(head).ok_or(Denied::Malformed)?;
    let head: Head = simd_json::from_slice(&mut text).map_err(|_| Denied::Malformed)?;
    Ok(head.crit.is_some())
}

/// Whether a URI container holds a URI: by its hash (RFC 6920, URL segment form) or by a regular expression
/// that must match all of it.
fn opens(container: &str, uri: &str) -> Result<bool, Denied> {
    if let Some(hash) = container.strip_prefix("hash:") {
        let Some(digest) = hash.strip_prefix("sha-256;") else { return Err(Denied::Forbidden) };
        let want = super::keys::base64url(digest).ok_or(Denied::Forbidden)?;
        return Ok(want[..] == Sha256::digest(uri.as_bytes())[..]);
    }
    let pattern = container.strip_prefix("regex:").ok_or(Denied::Forbidden)?;
    // Alone first: what only compiles inside the anchors would have broken out of them.
    let build =
        |text: &str| RegexBuilder::new(text).size_limit(MAX_REGEX).build().map_err(|_| Denied::Forbidden);
    build(pattern)?;
    Ok(build(&format!("^(?:{pattern})$"))?.is_match(uri))
}

/// What a link names.
#[derive(Clone, Debug, PartialEq)]
pub struct Link {
    /// Place of the class.
    pub class: usize,
    /// The group.
    pub group: u32,
    /// The object.
    pub object: u64,
    /// The part.
    pub part: u32,
    /// KB of the part; 0 where unknown.
    pub size_kb: f64,
}

/// A whole number in its one spelling.
fn number(text: &str) -> Option<u32> {
    text.parse().ok().filter(|n: &u32| n.to_string() == text)
}

impl Link {
    /// Reads a path; else the status that says what is wrong with it.
    fn read(path: &str, env: &PlatformSettings) -> Result<Self, u16> {
        let steps: Vec<&str> = path.strip_prefix("/media/").ok_or(404u16)?.split('/').collect();
        let (class, group, object, part, size) = match steps[..] {
            [class, group, object, part] => (class, group, object, part, None),
            [class, group, object, part, size] => (class, group, object, part, Some(size)),
            _ => return Err(404),
        };
        let class = env.class_index(class).filter(|class| !env.is_write(*class)).ok_or(404u16)?;
        let group = number(group).filter(|g| *g <= 255).ok_or(400u16)?;
        let lower = !object.bytes().any(|b| b.is_ascii_uppercase());
        let object = parse_hex16(object).filter(|_| lower).ok_or(400u16)?;
        let part = number(part).ok_or(400u16)?;
        let size_kb = match size {
            None => 0.0,
            Some(text) => {
                let size = text.parse::<f64>().ok().filter(|s| s.is_finite() && *s > 0.0);
                size.filter(|s| s.to_string() == text).ok_or(400u16)?
            }
        };
        Ok(Self { class, group, object, part, size_kb })
    }

    /// The path of a link.
    pub fn path(&self, env: &PlatformSettings) -> String {
        let class = env.class_name(self.class).unwrap_or_default();
        let path = format!("/media/{class}/{}/{:016x}/{}", self.group, self.object, self.part);
        if self.size_kb > 0.0 {
            format!("{path}/{}", self.size_kb)
        } else {
            path
        }
    }
}

/// The front.
pub struct SignedUrls {
    limits: ConnectionLimits,
    scheme: String,
    /// What tokens are checked against.
    pub verifier: RefCell<Verifier>,
    salt: u64,
    asked: Cell<u64>,
}

impl SignedUrls {
    /// A front with these bounds. `salt` keeps its requests' ids apart from those of its last start.
    pub fn new(limits: ConnectionLimits, scheme: String, verifier: Verifier, salt: u64) -> Self {
        Self { limits, scheme, verifier: RefCell::new(verifier), salt, asked: Cell::new(0) }
    }

    fn ask(
        &self,
        env: &PlatformSettings,
        request: &HttpRequest,
        now: f64,
    ) -> Result<(Box<IncomingRequest>, ResponseContext), HttpResponse> {
        let status = |status| move |_| HttpResponse::status(status);
        let bad = || HttpResponse::status(400);
        let (path, query) = request.target.split_once('?').unwrap_or((&request.target, ""));
        // One spelling: nothing is decoded, and no step is empty or a dot.
        if path.contains('%') || path.split('/').skip(1).any(|s| matches!(s, "" | "." | "..")) {
            return Err(bad());
        }
        let link = Link::read(path, env).map_err(HttpResponse::status)?;
        if !matches!(request.method.as_str(), "GET" | "HEAD") {
            return Err(HttpResponse::status(405).with("Allow", "GET, HEAD"));
        }
        // Guards against parameters that the signature doesn't cover: there is the token, and no other.
        let token = match query.strip_prefix(PACKAGE).and_then(|rest| rest.strip_prefix('=')) {
            Some(token) if !token.contains(['&', ';', '%', '?', '#']) => token,
            // Without the parameter a renewed token may have come as a cookie.
            None if query.is_empty() => cookie(request)?,
            _ => return Err(bad()),
        };
        let host = request.single("host").map_err(status(400))?.unwrap_or_default().to_ascii_lowercase();
        let uri = format!("{}://{host}{path}", self.scheme);
        // Guards the rule on purges: a pattern that leaves the group open would let a client name another one.
        let other = Link { group: (link.group + 1) % 256, ..link.clone() }.path(env);
        let other = format!("{}://{host}{other}", self.scheme);
        let checked = self.verifier.borrow().check(token, &uri, Some(&other), now);
        let renewal = checked.map_err(|denied| HttpResponse::status(denied.status()))?;
        let header = |name| request.single(name).map_err(status(400));
        let if_none_match = header("if-none-match")?.map(String::from);
        let context = ResponseContext {
            session: None,
            session_token: None,
            head_only: request.method == "HEAD",
            range: header("range")?.filter(|_| request.method == "GET").map(String::from),
            if_range: header("if-range")?.map(String::from),
            set_cookie: renewal.map(|renewal| renewal.cookie(path, self.scheme == "https")),
            if_match: header("if-match")?.map(String::from),
            if_none_match: if_none_match.clone(),
        };
        let deadline = env.deadline_ms(link.class);
        self.asked.set(self.asked.get().wrapping_add(1));
        // An odd multiplier makes each count another id.
        let id = self.salt.wrapping_add(self.asked.get().wrapping_mul(0x9E37_79B9_7F4A_7C15));
        let ask = IncomingRequest {
            id,
            id_text: format!("{id:016x}"),
            class: link.class,
            object: link.object,
            object_text: format!("{:016x}", link.object),
            part: link.part,
            group: link.group,
            size_kb: link.size_kb,
            deadline_ms: now + (deadline - MARGIN_MS).max(0.0),
            // With `If-Match` the bytes decide, so a cache must not say that the client's copy holds.
            client_etag: if_none_match.as_deref().filter(|_| context.if_match.is_none()).and_then(bare_tag),
            ..IncomingRequest::default()
        };
        Ok((Box::new(ask), context))
    }
}

/// The token of a request's cookie.
fn cookie(request: &HttpRequest) -> Result<&str, HttpResponse> {
    let pairs = request.headers.iter().filter(|(name, _)| name == "cookie").flat_map(|(_, v)| v.split(';'));
    let mut tokens = pairs.filter_map(|pair| pair.trim().strip_prefix(PACKAGE)?.strip_prefix('='));
    match (tokens.next(), tokens.next()) {
        (Some(token), None) => Ok(token),
        (None, _) => Err(HttpResponse::status(403)),
        // Which of two would count is a guess that an attacker could make, too.
        (Some(_), Some(_)) => Err(HttpResponse::status(400)),
    }
}

/// Whether a list of tags holds a tag; weak ones count where `weak` says so.
fn lists(list: &str, tag: &str, weak: bool) -> bool {
    list.trim() == "*"
        || list.split(',').map(str::trim).any(|one| {
            let bare = one.strip_prefix("W/").filter(|_| weak).unwrap_or(one);
            bare.strip_prefix('"').and_then(|t| t.strip_suffix('"')) == Some(tag)
        })
}

/// What a `Range` asks of a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Range {
    /// All of it: none was asked for, or not in a way that is understood.
    All,
    /// From the first of these bytes up to before the second.
    Part(usize, usize),
    /// Nothing that there is.
    Outside,
}

/// Reads a `Range` with one range for a body of a length.
pub fn range(text: &str, length: usize) -> Range {
    let Some((first, last)) = text.strip_prefix("bytes=").and_then(|r| r.trim().split_once('-')) else {
        return Range::All;
    };
    let digits = |t: &str| t.bytes().all(|b| b.is_ascii_digit());
    if !digits(first) || !digits(last) || (first.is_empty() && last.is_empty()) {
        return Range::All;
    }
    // What is too large for a number lies past any end.
    let value = |t: &str| t.parse::<usize>().unwrap_or(usize::MAX);
    if first.is_empty() {
        return match value(last).min(length) {
            0 => Range::Outside,
            n => Range::Part(length - n, length),
        };
    }
    let (first, last) = (value(first), if last.is_empty() { usize::MAX } else { value(last) });
    if last < first {
        return Range::All;
    }
    if first >= length {
        return Range::Outside;
    }
    Range::Part(first, last.saturating_add(1).min(length))
}

impl Front for SignedUrls {
    fn limits(&self) -> &ConnectionLimits {
        &self.limits
    }

    fn interpret(&self, host: &Rc<Executor>, request: &HttpRequest, now: f64) -> Disposition {
        match self.ask(&host.settings(), request, now) {
            Ok((ask, context)) => Disposition::Forward(ask, context),
            Err(answer) => {
                host.with(|engine| match answer.status {
                    403 => engine.counters.forbidden_requests += 1,
                    400 => engine.counters.malformed_requests += 1,
                    _ => {}
                });
                Disposition::Respond(answer)
            }
        }
    }

    fn respond(&self, context: &ResponseContext, answer: FinalResponse) -> HttpResponse {
        let quoted = |tag: &str| format!("\"{tag}\"");
        let mut worded = match answer {
            FinalResponse::NotModified { tag } => HttpResponse::status(304).with("ETag", quoted(&tag)),
            FinalResponse::Served { tag, body } => {
                let tag = tag.unwrap_or_default();
                let holds = |list: &Option<String>, weak| list.as_deref().map(|list| lists(list, &tag, weak));
                let whole = context.if_range.is_some() && holds(&context.if_range, false) != Some(true);
                let asked = context.range.as_deref().filter(|_| !whole);
                if holds(&context.if_match, false) == Some(false) {
                    HttpResponse::status(412)
                } else if holds(&context.if_none_match, true) == Some(true) {
                    HttpResponse::status(304).with("ETag", quoted(&tag))
                } else {
                    let length = body.len();
                    let answer = match asked.map_or(Range::All, |text| range(text, length)) {
                        Range::All => HttpResponse { body, ..HttpResponse::status(200) },
                        Range::Part(from, to) => {
                            HttpResponse { body: body.slice(from..to), ..HttpResponse::status(206) }
                                .with("Content-Range", format!("bytes {from}-{}/{length}", to - 1))
                        }
                        Range::Outside => {
                            HttpResponse::status(416).with("Content-Range", format!("bytes */{length}"))
                        }
                    };
                    let answer = if tag.is_empty() { answer } else { answer.with("ETag", quoted(&tag)) };
                    answer.with("Accept-Ranges", "bytes").with("Content-Type", "application/octet-stream")
                }
            }
            FinalResponse::Rejected { overdue: true, .. } | FinalResponse::Failed { overdue: true } => {
                HttpResponse::status(504)
            }
            FinalResponse::Rejected { retry_after_ms: wait_ms, .. } => refused(wait_ms),
            FinalResponse::Failed { .. } => HttpResponse::status(502),
        };
        worded.head_only = context.head_only;
        if let Some(cookie) = context.set_cookie.as_ref().filter(|_| matches!(worded.status, 200 | 206 | 304))
        {
            worded = worded.with("Set-Cookie", cookie.clone());
        }
        // What was given for a token is nobody else's.
        worded.with("Cache-Control", "private")
    }

    fn reject(&self, reason: AdmitError) -> HttpResponse {
        match reason {
            AdmitError::Full => refused(0.0),
            AdmitError::Duplicate => HttpResponse::status(502),
        }
    }
}

fn refused(wait_ms: f64) -> HttpResponse {
    HttpResponse::status(503).with("Retry-After", format!("{}", (wait_ms / 1_000.0).ceil().max(1.0)))
}
