//! Messages between instances: one JSON object per datagram. Serialized names are part of the protocol and
//! must not change.

use super::lease::{Lease, Slot};
use crate::EndpointId;
use serde::{Deserialize, Serialize};

/// Domain separation label for datagram signatures: other protocols may use the same keys.
pub const LABEL: &[u8] = b"calicobeam duties 1";
/// Maximum size of a datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 512;

/// A message from one instance to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub enum Message {
    /// Periodic message that shows that the sender is alive.
    #[serde(rename = "beat")]
    Heartbeat,
    /// Requests the receiver's vote for a lease.
    #[serde(rename = "claim")]
    VoteRequest(Lease),
    /// Reply to a vote request.
    #[serde(rename = "grant")]
    Vote {
        /// Endpoint of the lease.
        #[serde(rename = "duty")]
        endpoint: EndpointId,
        /// Slot of the lease.
        slot: Slot,
        /// Whether the vote was granted.
        #[serde(rename = "yes")]
        granted: bool,
    },
    /// Result of a check that the sender ran.
    #[serde(rename = "result")]
    Result(CheckResult),
}

/// Result of one check.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CheckResult {
    /// The checked endpoint.
    #[serde(rename = "duty")]
    pub endpoint: EndpointId,
    /// Slot of the check.
    pub slot: Slot,
    /// Whether the check passed.
    #[serde(rename = "ok")]
    pub passed: bool,
    /// Duration of the check, in milliseconds.
    #[serde(rename = "took_ms")]
    pub duration_ms: f64,
}
