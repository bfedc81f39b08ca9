//! The messages between instances, as JSON in one datagram each. The names on the wire are those of the first version.

use super::lease::{Lease, Slot};
use crate::EndpointId;
use serde::{Deserialize, Serialize};

/// Label of the signatures of datagrams, which separates them from other protocols under the same keys.
pub const LABEL: &[u8] = b"calicobeam duties 1";
/// Longest datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 512;

/// A message of one instance to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub enum Message {
    /// The sender is alive.
    #[serde(rename = "beat")]
    Heartbeat,
    /// The sender is a candidate for a lease.
    #[serde(rename = "claim")]
    VoteRequest(Lease),
    /// The sender's answer to a vote request.
    #[serde(rename = "grant")]
    Vote {
        /// Endpoint to be checked.
        #[serde(rename = "duty")]
        endpoint: EndpointId,
        /// Slot of the check.
        slot: Slot,
        /// Whether the vote is given to the candidate.
        #[serde(rename = "yes")]
        granted: bool,
    },
    /// The result of a check that the sender ran.
    #[serde(rename = "result")]
    Result(CheckResult),
}

/// The result of one check.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CheckResult {
    /// Endpoint that was checked.
    #[serde(rename = "duty")]
    pub endpoint: EndpointId,
    /// Slot of the check.
    pub slot: Slot,
    /// Whether the endpoint passed.
    #[serde(rename = "ok")]
    pub passed: bool,
    /// Duration of the check, in milliseconds.
    #[serde(rename = "took_ms")]
    pub duration_ms: f64,
}
