//! The keys in force, and those that a rotation has replaced and that are still accepted for a while.

use super::jwk::{Key, KeySet, MAX_KEYS};

/// A key that a rotation has replaced.
#[derive(Debug)]
struct RetiredKey {
    key_id: String,
    key: Key,
    /// Until when it is accepted, in Unix milliseconds.
    until: f64,
}

/// A key that renewed tokens are signed with, and its id.
#[derive(Clone, Copy, Debug)]
pub struct Signer<'a> {
    /// The key's id.
    pub key_id: &'a str,
    /// The key.
    pub key: &'a Key,
}

/// The keys that tokens are verified with.
#[derive(Debug)]
pub struct KeyRing {
    current: KeySet,
    retired: Vec<RetiredKey>,
    overlap_ms: f64,
}

impl KeyRing {
    /// A ring of these keys; a key that is rotated out is accepted for `overlap_ms` milliseconds more.
    pub fn new(keys: KeySet, overlap_ms: f64) -> Self {
        Self { current: keys, retired: Vec::new(), overlap_ms }
    }

    /// Puts another set of keys in force. Keys that it lacks are accepted for the overlap, so that links that were
    /// issued a moment before stay valid.
    pub fn rotate(&mut self, keys: KeySet, now: f64) {
        let until = now + self.overlap_ms;
        self.retired.retain(|retired| now < retired.until);
        for (key_id, key) in std::mem::replace(&mut self.current, keys) {
            if self.current.get(&key_id).is_none_or(|current| !current.is_same_key(&key)) {
                self.retired.push(RetiredKey { key_id, key, until });
            }
        }
        let excess = self.retired.len().saturating_sub(MAX_KEYS);
        self.retired.drain(..excess);
    }

    /// The key that renewed tokens are signed with: the current key of the id, or, where that was rotated out, the
    /// first current one that can sign, so that a renewal goes on across a rotation.
    pub fn signer<'a>(&'a self, key_id: &'a str) -> Option<Signer<'a>> {
        let can_sign = |key: &Key| key.signing.is_some();
        match self.current.get(key_id) {
            Some(key) => can_sign(key).then_some(Signer { key_id, key }),
            None => {
                let signers = self.current.iter().filter(|(_, key)| can_sign(key));
                let first = signers.min_by_key(|(key_id, _)| *key_id)?;
                Some(Signer { key_id: first.0, key: first.1 })
            }
        }
    }

    /// The keys of an id that are accepted at `now`, the current one first.
    pub fn find<'a>(&'a self, key_id: &'a str, now: f64) -> impl Iterator<Item = &'a Key> {
        let retired = self.retired.iter().filter(move |old| old.key_id == key_id && now < old.until);
        self.current.get(key_id).into_iter().chain(retired.map(|old| &old.key))
    }
}

#[cfg(test)]
mod tests;
