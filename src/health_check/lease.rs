//! When each duty is due, and in which order instances try for it. Slots are counted from the Unix epoch, so that
//! instances with clocks near each other agree on them without a word; the duties of one period are spread over it by
//! their ids, so that no moment has them all. No I/O.

/// A duty's number: the id of the server it is about.
pub type DutyId = u32;
/// A slot's number within a duty.
pub type Slot = u64;
/// An instance's number.
pub type InstanceId = u16;

/// A well-mixed hash, the same at every instance.
fn mix(a: u64, b: u64) -> u64 {
    let mut z = a.wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ b.wrapping_add(0xD1B5_4A32_D192_ED03);
    z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    z ^ (z >> 31)
}

/// Where in a period a duty is due, in milliseconds.
pub fn offset_ms(duty: DutyId, period_ms: f64) -> f64 {
    (mix(u64::from(duty), 1) >> 11) as f64 / (1u64 << 53) as f64 * period_ms
}

/// The slot of a duty that is due last before `now`.
pub fn slot_at(now: f64, duty: DutyId, period_ms: f64) -> Slot {
    ((now - offset_ms(duty, period_ms)) / period_ms).floor().max(0.0) as Slot
}

/// When a slot is due, Unix milliseconds.
pub fn due_ms(duty: DutyId, slot: Slot, period_ms: f64) -> f64 {
    offset_ms(duty, period_ms) + slot as f64 * period_ms
}

/// An instance's place among others in a duty's order, from 0: rendezvous hashing, so that one that dies leaves the
/// others' order as it was, and its duties go to all of them alike.
pub fn place(duty: DutyId, me: InstanceId, others: impl Iterator<Item = InstanceId>) -> usize {
    let score = |id: InstanceId| (mix(u64::from(duty), 1_000 + u64::from(id)), id);
    others.filter(|id| *id != me && score(*id) < score(me)).count()
}

#[cfg(test)]
mod tests;
