//! Ids of connections and attempts.

use crate::RequestId;

/// Id of a connection to an endpoint. Ids are not reused.
pub type ConnectionId = u64;

/// Id of an attempt: its request, and its number within the request, from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The request.
    pub request: RequestId,
    /// Number of the attempt.
    pub number: u32,
}
