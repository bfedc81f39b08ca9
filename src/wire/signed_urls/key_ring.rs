//! The current keys, and the keys that a rotation replaced and that are still accepted for an overlap period.

use super::jwk::{Key, KeySet, MAX_KEYS};

/// A key that a rotation replaced.
#[derive(Debug)]
struct RetiredKey {
    key_id: String,
    key: Key,
    /// The end of its overlap period, in Unix milliseconds.
    accepted_until_ms: f64,
}

/// A key that signs renewed tokens.
#[derive(Clone, Copy, Debug)]
pub struct Signer<'a> {
    /// The key's id, for the header parameter `kid`.
    pub key_id: &'a str,
    /// The key, which has a `signing_key`.
    pub key: &'a Key,
}

/// The keys that verify tokens.
#[derive(Debug)]
pub struct KeyRing {
    current: KeySet,
    retired: Vec<RetiredKey>,
    overlap_ms: f64,
}

impl KeyRing {
    /// Creates a ring. A key that is rotated out remains accepted for `overlap_ms` milliseconds.
    pub fn new(keys: KeySet, overlap_ms: f64) -> Self {
        Self { current: keys, retired: Vec::new(), overlap_ms }
    }

    /// Replaces the current keys. Keys that the new set lacks or replaces are accepted for the overlap
    /// period, so that URLs that were signed shortly before the rotation remain valid. At most `MAX_KEYS` of
    /// them are kept; the oldest are dropped first.
    pub fn rotate(&mut self, keys: KeySet, now: f64) {
        let accepted_until_ms = now + self.overlap_ms;
        self.retired.retain(|retired| now < retired.accepted_until_ms);
        for (key_id, key) in std::mem::replace(&mut self.current, keys) {
            if self.current.get(&key_id).is_none_or(|current| !current.is_same_key(&key)) {
                self.retired.push(RetiredKey { key_id, key, accepted_until_ms });
            }
        }
        let excess = self.retired.len().saturating_sub(MAX_KEYS);
        self.retired.drain(..excess);
    }

    /// The key that signs renewed tokens: the current key with this id or, if that was rotated out, the
    /// current signing key with the lowest id, so that tokens are still renewed after a rotation. `None` if
    /// the current key with this id cannot sign, or no key can.
    pub fn signer<'a>(&'a self, key_id: &'a str) -> Option<Signer<'a>> {
        let can_sign = |key: &Key| key.signing_key.is_some();
        match self.current.get(key_id) {
            Some(key) => can_sign(key).then_some(Signer { key_id, key }),
            None => {
                let signers = self.current.iter().filter(|(_, key)| can_sign(key));
                let first = signers.min_by_key(|(key_id, _)| *key_id)?;
                Some(Signer { key_id: first.0, key: first.1 })
            }
        }
    }

    /// The keys with this id that are accepted at `now`, the current one first.
    pub fn find<'a>(&'a self, key_id: &'a str, now: f64) -> impl Iterator<Item = &'a Key> {
        let retired =
            self.retired.iter().filter(move |entry| entry.key_id == key_id && now < entry.accepted_until_ms);
        self.current.get(key_id).into_iter().chain(retired.map(|entry| &entry.key))
    }
}

#[cfg(test)]
mod tests;
