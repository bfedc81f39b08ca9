//! Which method goes to which pool, and what it may: the table of an operator file, compiled once. No I/O.

use super::status::Code;
use crate::interface::Idempotency;
use ahash::AHashMap;
use sha2::{Digest, Sha256};
use std::collections::hash_map::Entry;

/// Whether a method's calls are one message each way.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MethodKind {
    /// One message each way: an attempt that does not answer in its time is given up, where it may be repeated.
    Unary,
    /// Any number of messages either way, or not known: an attempt has all the call's time.
    #[default]
    Stream,
}

/// What decides the backend's place in the order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Affinity {
    /// Nothing: each call by itself.
    Call,
    /// The method.
    Method,
    /// A header's value; calls without it each by themselves.
    Header(String),
}

/// What the table says of a method.
#[derive(Clone, Debug)]
pub struct Route {
    /// Place of its pool.
    pub pool: usize,
    /// Place of its class in the pool's settings.
    pub class: usize,
    /// Unary or not.
    pub kind: MethodKind,
    /// Whether it may be repeated.
    pub idempotency: Idempotency,
    /// The header that must hold an idempotency key.
    pub key: Option<String>,
    /// The longest that a call may take, in milliseconds; none where only the client says.
    pub deadline_ms: Option<f64>,
    /// Statuses after which it is tried again, where it may be repeated.
    pub retry: Vec<Code>,
    /// What decides its backend.
    pub affinity: Affinity,
}

/// The table.
#[derive(Clone, Debug, Default)]
pub struct Routes {
    methods: AHashMap<String, usize>,
    services: AHashMap<String, usize>,
    rest: Option<usize>,
    routes: Vec<Route>,
}

/// Why a pattern is none.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PatternError {
    /// It is not `/Service/Method`, `/Service/*` or `*`.
    #[error("{0:?} is not `/Service/Method`, `/Service/*` or `*`")]
    Form(String),
    /// It stands twice.
    #[error("{0:?} comes twice")]
    Twice(String),
}

/// A path's service and method; none where it is no method's path.
pub fn split(path: &str) -> Option<(&str, &str)> {
    let (service, method) = path.strip_prefix('/')?.split_once('/')?;
    let plain =
        |s: &str| !s.is_empty() && s.bytes().all(|b| b.is_ascii_alphanumeric() || b"._-".contains(&b));
    (plain(service) && plain(method)).then_some((service, method))
}

impl Routes {
    /// Adds what a pattern's methods may.
    pub fn add(&mut self, pattern: &str, route: Route) -> Result<(), PatternError> {
        let service = pattern.strip_suffix("/*").filter(|s| split(&format!("{s}/m")).is_some());
        let (taken, place) = (PatternError::Twice(pattern.to_string()), self.routes.len());
        match service {
            _ if pattern == "*" => match self.rest {
                Some(_) => return Err(taken),
                None => self.rest = Some(place),
            },
            Some(service) => match self.services.entry(service[1..].to_string()) {
                Entry::Occupied(_) => return Err(taken),
                Entry::Vacant(free) => drop(free.insert(place)),
            },
            None if split(pattern).is_some() => match self.methods.entry(pattern.to_string()) {
                Entry::Occupied(_) => return Err(taken),
                Entry::Vacant(free) => drop(free.insert(place)),
            },
            None => return Err(PatternError::Form(pattern.to_string())),
        }
        self.routes.push(route);
        Ok(())
    }

    /// What the table says of a path: the method's own line, else its service's, else the rest's.
    pub fn find(&self, path: &str) -> Option<&Route> {
        let (service, _) = split(path)?;
        let place = self.methods.get(path).or_else(|| self.services.get(service)).or(self.rest.as_ref())?;
        self.routes.get(*place)
    }

    /// Gives the pools other places.
    pub fn renumber(&mut self, place: impl Fn(usize) -> usize) {
        self.routes.iter_mut().for_each(|route| route.pool = place(route.pool));
    }

    /// All lines.
    pub fn all(&self) -> &[Route] {
        &self.routes
    }
}

/// The hash of an affinity's text, the same at every proxy.
pub fn hash(text: &[u8]) -> u64 {
    let digest = Sha256::digest(text);
    u64::from_be_bytes(digest[..8].try_into().expect("32 bytes"))
}

#[cfg(test)]
mod tests;
