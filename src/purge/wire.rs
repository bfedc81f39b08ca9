//! The JSON bodies of purge calls, over HTTP/1.1 with one call per connection.
//!
//! | call | body | response |
//! | --- | --- | --- |
//! | `POST /purges` | [`SubmitRequest`] | 200 [`SubmitResponse`] |
//! | `GET /purges` | | 200 [`super::metrics::PurgeStatus`] |
//! | `GET /purges/log?from=N&most=M` | | 200 [`PurgeList`]: at most `M` purges, from `N` on |
//! | `POST /purges/apply` | [`Batch`] | 200 [`Acknowledgement`] |
//!
//! Errors have an [`ErrorBody`]: 400 for a malformed body, 409 for a call that this proxy's role does not
//! allow or a batch whose sequence numbers are not consecutive from `from` on, 500 if the log can't be
//! written.
//!
//! The leader calls `POST /purges/apply` on every target: proxies at their admin address, cache servers at
//! the address that the configuration gives. A target applies the purges in order, skips duplicates, stops at
//! the first gap, and answers with the highest sequence number that it has applied.

use super::active_purges::{Purge, PurgeStamp};
use super::selector::Selector;

use serde::{Deserialize, Serialize};

/// Maximum size of a call's body, in bytes: enough for a batch of 256 purges with the longest selectors.
pub const MAX_BODY_BYTES: usize = 262_144;

/// A purge to issue.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SubmitRequest {
    /// Which copies to remove.
    #[serde(rename = "sel")]
    pub selector: Selector,
}

/// The sequence number and issue time of a new purge.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct SubmitResponse {
    /// The sequence number.
    pub seq: u64,
    /// The issue time, in Unix milliseconds.
    pub issued_ms: f64,
}

/// Purges that the leader sends to a target, in order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Batch {
    /// The name of the leader.
    pub leader: String,
    /// The sequence number of the first purge in `purges`, or of the next purge if there is none.
    pub from: u64,
    /// The highest sequence number that every target has applied.
    #[serde(rename = "done")]
    pub low_water_mark: u64,
    /// Replaces the purges before `from` that the leader no longer retains: every copy generated at or before
    /// its issue time counts as purged.
    #[serde(default, rename = "floor")]
    pub cutoff: Option<PurgeStamp>,
    /// The purges, in order.
    #[serde(rename = "entries")]
    pub purges: Vec<Purge>,
}

/// A target's answer to a batch.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Acknowledgement {
    /// The highest sequence number up to which it has applied every purge.
    pub applied: u64,
}

/// The answer to `GET /purges/log`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PurgeList {
    /// The purges, in order.
    #[serde(rename = "entries")]
    pub purges: Vec<Purge>,
    /// The highest sequence number issued or applied.
    #[serde(rename = "last")]
    pub last_seq: u64,
}

/// The body of an answer with an error status.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// A description of the error.
    pub error: String,
}

/// Encodes a body as JSON.
pub fn to_json<T: Serialize>(value: &T) -> Vec<u8> {
    simd_json::to_vec(value).expect("the bodies of purge calls have string keys only")
}

/// Decodes a body from JSON.
pub fn from_json<T: for<'de> Deserialize<'de>>(bytes: &[u8]) -> Result<T, simd_json::Error> {
    simd_json::from_slice(&mut bytes.to_vec())
}

#[cfg(test)]
mod tests;
