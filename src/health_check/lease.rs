//! Leases: the right of one instance to run the check of one endpoint in one slot. This module computes when each check
//! is due and in which order instances become candidates for its lease. No I/O.
//!
//! Slots are counted from the Unix epoch, so instances whose clocks roughly agree number them alike without
//! communication. The checks of one period are spread over it by a hash of the endpoint's id.

use crate::EndpointId;
use serde::{Deserialize, Serialize};

/// Number of a slot of an endpoint's check: its periods since the Unix epoch.
pub type Slot = u64;
/// Number of an instance, the same in every instance's configuration.
pub type InstanceId = u16;

/// A lease, named by its check.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Lease {
    /// Endpoint to be checked.
    #[serde(rename = "duty")]
    pub endpoint: EndpointId,
    /// Slot of the check.
    pub slot: Slot,
}

impl Lease {
    /// When the check is due, in Unix milliseconds.
    pub fn due_ms(&self, period_ms: f64) -> f64 {
        offset_ms(self.endpoint, period_ms) + self.slot as f64 * period_ms
    }
}

/// Hash input that separates a check's place in the period from the ranks of instances.
const OFFSET_INPUT: u64 = 1;
/// Least hash input of an instance.
const RANK_INPUT: u64 = 1_000;

/// A well-mixed hash that is the same at every instance (the finalizer of SplitMix64).
fn mix(a: u64, b: u64) -> u64 {
    let mut z = a.wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ b.wrapping_add(0xD1B5_4A32_D192_ED03);
    z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    z ^ (z >> 31)
}

/// Time from the start of a period until an endpoint's check is due, in milliseconds.
pub fn offset_ms(endpoint: EndpointId, period_ms: f64) -> f64 {
    let fraction = (mix(u64::from(endpoint), OFFSET_INPUT) >> 11) as f64 / (1u64 << 53) as f64;
    fraction * period_ms
}

/// The latest slot of an endpoint's check that is due at `now`, in Unix milliseconds.
pub fn slot_at(now: f64, endpoint: EndpointId, period_ms: f64) -> Slot {
    ((now - offset_ms(endpoint, period_ms)) / period_ms).floor().max(0.0) as Slot
}

/// Rank of an instance among others as candidate for the leases of an endpoint, from 0.
///
/// Rendezvous hashing: a failed instance leaves the order of the others unchanged, and its checks are spread evenly
/// over them.
pub fn rank(endpoint: EndpointId, me: InstanceId, others: impl Iterator<Item = InstanceId>) -> usize {
    let score = |id: InstanceId| (mix(u64::from(endpoint), RANK_INPUT + u64::from(id)), id);
    others.filter(|id| *id != me && score(*id) < score(me)).count()
}

#[cfg(test)]
mod tests;
