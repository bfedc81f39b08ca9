//! Leases: the exclusive right of an instance to run the check of one endpoint in one slot. This module
//! computes when each check is due and the order in which instances request its lease. No I/O.
//!
//! A slot is one period of one endpoint's checks. Slots are numbered from the Unix epoch, so instances with
//! roughly synchronized clocks agree on them without communication. A hash of the endpoint's id spreads the
//! checks of different endpoints over the period.

use crate::EndpointId;
use serde::{Deserialize, Serialize};

/// Number of a slot: periods of the endpoint's checks since the Unix epoch.
pub type Slot = u64;
/// Id of an instance, unique among the instances.
pub type InstanceId = u16;

/// Identifies a lease by endpoint and slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Lease {
    /// Endpoint to check.
    #[serde(rename = "duty")]
    pub endpoint: EndpointId,
    /// Slot of the check.
    pub slot: Slot,
}

impl Lease {
    /// Time at which the check is due, in Unix milliseconds.
    pub fn due_ms(&self, period_ms: f64) -> f64 {
        offset_ms(self.endpoint, period_ms) + self.slot as f64 * period_ms
    }
}

/// Domain separation value for the hash in [`offset_ms`]. Differs from all inputs of [`rank`].
const OFFSET_HASH_INPUT: u64 = 1;
/// Domain separation value for the hash in [`rank`], to which the instance id is added.
const RANK_HASH_INPUT_BASE: u64 = 1_000;

/// Hashes two numbers with the SplitMix64 finalizer. Must not change: instances of all versions must compute
/// the same values.
fn hash(a: u64, b: u64) -> u64 {
    let mut z = a.wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ b.wrapping_add(0xD1B5_4A32_D192_ED03);
    z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    z ^ (z >> 31)
}

/// Offset of an endpoint's check from the start of the period, in milliseconds.
pub fn offset_ms(endpoint: EndpointId, period_ms: f64) -> f64 {
    let fraction = (hash(u64::from(endpoint), OFFSET_HASH_INPUT) >> 11) as f64 / (1u64 << 53) as f64;
    fraction * period_ms
}

/// The endpoint's slot that contains `now` (Unix milliseconds).
pub fn slot_at(now: f64, endpoint: EndpointId, period_ms: f64) -> Slot {
    ((now - offset_ms(endpoint, period_ms)) / period_ms).floor().max(0.0) as Slot
}

/// Rank of the instance `own_id` among the candidates for the leases of an endpoint, from 0.
///
/// Uses rendezvous hashing: when an instance fails, the order of the others does not change, and the failed
/// instance's checks are spread evenly over them.
pub fn rank(endpoint: EndpointId, own_id: InstanceId, candidates: impl Iterator<Item = InstanceId>) -> usize {
    let score = |id: InstanceId| (hash(u64::from(endpoint), RANK_HASH_INPUT_BASE + u64::from(id)), id);
    candidates.filter(|id| *id != own_id && score(*id) < score(own_id)).count()
}

#[cfg(test)]
mod tests;
