//! The routing table: maps methods to pools, deadlines and retry rules. No I/O.

use super::status::Code;
use crate::interface::{Idempotency, RequestClass};
use ahash::AHashMap;
use sha2::{Digest, Sha256};
use std::collections::hash_map::Entry;
use std::rc::Rc;

/// Whether a method is unary or streaming.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MethodKind {
    /// One message in each direction. An attempt has a timeout of its own if it can be retried.
    Unary,
    /// Any number of messages in either direction; also for methods whose kind is unknown. An attempt has
    /// until the call's deadline.
    #[default]
    Stream,
}

/// The part of a call whose hash selects the preferred backend.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Affinity {
    /// No affinity: calls are spread over the backends.
    Call,
    /// The method's path.
    Method,
    /// The value of a header; calls without it have no affinity.
    Header(String),
}

/// A compiled route.
#[derive(Clone, Debug)]
pub struct Route {
    /// Index of the pool.
    pub pool: usize,
    /// The request class, shared with the pool's policy settings. Calls keep it over a reload.
    pub class: Rc<RequestClass>,
    /// The tenant of its calls for admission control, if no header tells it: the route's number.
    pub tenant: u32,
    /// Unary or streaming.
    pub kind: MethodKind,
    /// Whether attempts that may have been processed can be retried.
    pub idempotency: Idempotency,
    /// The header that must hold an idempotency key, if any.
    pub key_header: Option<String>,
    /// Maximum duration of a call, in milliseconds; `None` if only the client limits it.
    pub deadline_ms: Option<f64>,
    /// Status codes after which an idempotent method is retried.
    pub retry: Vec<Code>,
    /// The affinity of calls to backends.
    pub affinity: Affinity,
}

/// The routing table.
#[derive(Clone, Debug, Default)]
pub struct Routes {
    methods: AHashMap<String, usize>,
    services: AHashMap<String, usize>,
    catch_all: Option<usize>,
    routes: Vec<Route>,
}

/// An invalid pattern.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PatternError {
    /// The pattern has none of the three forms.
    #[error("{0:?} is not `/Service/Method`, `/Service/*` or `*`")]
    Syntax(String),
    /// The pattern is already in the table.
    #[error("pattern {0:?} is defined more than once")]
    Duplicate(String),
}

/// Splits the path of a method into service and method. Returns `None` for any other path.
pub fn split_path(path: &str) -> Option<(&str, &str)> {
    let (service, method) = path.strip_prefix('/')?.split_once('/')?;
    let is_valid_name =
        |s: &str| !s.is_empty() && s.bytes().all(|b| b.is_ascii_alphanumeric() || b"._-".contains(&b));
    (is_valid_name(service) && is_valid_name(method)).then_some((service, method))
}

impl Routes {
    /// Adds a route for the methods that a pattern matches.
    pub fn add(&mut self, pattern: &str, route: Route) -> Result<(), PatternError> {
        let service = pattern.strip_suffix("/*").filter(|s| split_path(&format!("{s}/m")).is_some());
        let (duplicate, index) = (PatternError::Duplicate(pattern.to_string()), self.routes.len());
        match service {
            _ if pattern == "*" => match self.catch_all {
                Some(_) => return Err(duplicate),
                None => self.catch_all = Some(index),
            },
            Some(service) => match self.services.entry(service[1..].to_string()) {
                Entry::Occupied(_) => return Err(duplicate),
                Entry::Vacant(entry) => drop(entry.insert(index)),
            },
            None if split_path(pattern).is_some() => match self.methods.entry(pattern.to_string()) {
                Entry::Occupied(_) => return Err(duplicate),
                Entry::Vacant(entry) => drop(entry.insert(index)),
            },
            None => return Err(PatternError::Syntax(pattern.to_string())),
        }
        self.routes.push(route);
        Ok(())
    }

    /// Finds the most specific route for a path: by method, then by service, then the catch-all `*`.
    pub fn find(&self, path: &str) -> Option<&Route> {
        let (service, _) = split_path(path)?;
        let index =
            self.methods.get(path).or_else(|| self.services.get(service)).or(self.catch_all.as_ref())?;
        self.routes.get(*index)
    }

    /// Maps the pool index of each route with `index`.
    pub fn remap_pools(&mut self, index: impl Fn(usize) -> usize) {
        self.routes.iter_mut().for_each(|route| route.pool = index(route.pool));
    }

    /// All routes, in the order in which they were added.
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }
}

/// The first 8 bytes of the SHA-256 digest, as the affinity hash; the same on every proxy.
pub fn affinity_hash_of(bytes: &[u8]) -> u64 {
    let digest = Sha256::digest(bytes);
    u64::from_be_bytes(digest[..8].try_into().expect("a SHA-256 digest has 32 bytes"))
}

#[cfg(test)]
mod tests;
