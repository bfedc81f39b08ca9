//! The classification of a request: its class, and the keys of what it requests.

use super::http::HttpRequest;

/// The class and keys of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The name of its class.
    pub class: String,
    /// The object.
    pub object: u64,
    /// The part.
    pub part: u32,
    /// The object's group.
    pub group: u32,
}

/// The result of a classification.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Classification {
    /// The request's class and keys.
    Target(Target),
    /// The request is of a known form, but lacks a key or class.
    Malformed,
    /// The request is of no known form.
    NoMatch,
}

/// Classifies requests.
pub trait RequestClassifier {
    /// Classifies a request.
    fn classify(&self, request: &HttpRequest) -> Classification;
}
