//! Request classification: maps a request to its class and to the keys of the requested object.

use super::http::HttpRequest;

/// The class and keys of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The name of its class.
    pub class: String,
    /// The object's id.
    pub object: u64,
    /// The number of the object's part.
    pub part: u32,
    /// The object's group.
    pub group: u32,
}

/// The result of a classification.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Classification {
    /// The request's class and keys.
    Target(Target),
    /// The request matches a path form or rule, but its class or a key is missing or invalid.
    Malformed,
    /// The request matches no path form or rule.
    NoMatch,
}

/// Maps requests to targets, by the platform's path form or by an operator's rules.
pub trait RequestClassifier {
    /// Classifies a request.
    fn classify(&self, request: &HttpRequest) -> Classification;
}
