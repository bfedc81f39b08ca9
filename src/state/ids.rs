//! Numbers of connections and attempts.

use crate::RequestId;

/// A connection's number; never used again.
pub type ConnectionId = u64;

/// An attempt: its request, and its number there from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The request.
    pub request: RequestId,
    /// Number of the attempt.
    pub number: u32,
}
