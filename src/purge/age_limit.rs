//! The effect of fleet purges on requests: the age limit of each attempt, and whether the copy in a reply has
//! been purged. No I/O.
//!
//! The surrogate keys of a copy are known only from replies, so they are kept in an LRU cache by object. If
//! they are not cached when an attempt is sent, the reply is still checked: a purged copy is not passed on,
//! the attempt counts as malformed, and the age limit of the next attempt takes the keys into account.

use super::active_purges::{ActivePurges, PurgeStamp, RetentionLimits};
use super::selector::{copy_name, CachedCopy};
use crate::cache_message::CacheReply;
use crate::engine::purge_filter::{PurgeFilter, RequestedCopy};
use crate::surrogate_key::SurrogateKey;
use crate::ObjectId;
use lru::LruCache;
use std::num::NonZeroUsize;

/// Counters of age limits and reply checks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct AgeLimitMetrics {
    /// Attempts whose age limit was set or lowered because of a purge.
    #[serde(rename = "bounded")]
    pub limited_attempts: u64,
    /// Replies discarded because their copy had been purged.
    #[serde(rename = "stale_answers")]
    pub purged_replies: u64,
}

/// Limits the age of the copies that attempts accept, and checks replies against the active purges.
#[derive(Debug)]
pub struct AgeLimiter {
    /// The active purges.
    pub active: ActivePurges,
    surrogate_keys: LruCache<ObjectId, Box<[SurrogateKey]>>,
    /// The counters.
    pub metrics: AgeLimitMetrics,
}

impl AgeLimiter {
    /// Creates a limiter without purges that caches the surrogate keys of at most `max_tagged_objects`
    /// objects.
    pub fn new(limits: RetentionLimits, max_tagged_objects: usize) -> Self {
        let capacity = NonZeroUsize::new(max_tagged_objects).unwrap_or(NonZeroUsize::MIN);
        Self {
            active: ActivePurges::new(limits),
            surrogate_keys: LruCache::new(capacity),
            metrics: AgeLimitMetrics::default(),
        }
    }

    /// The purge that removed the copy in a reply, if any. Caches the reply's surrogate keys. A copy without
    /// a generation time can't be checked and is accepted.
    pub fn check_reply(
        &mut self,
        copy: RequestedCopy<'_>,
        generated_ms: Option<f64>,
        surrogate_keys: &[SurrogateKey],
    ) -> Option<PurgeStamp> {
        self.cache_keys(copy.object, surrogate_keys);
        let name = copy_name(copy.class, copy.object, copy.part);
        let copy = CachedCopy { name: &name, object: copy.object, group: copy.group, surrogate_keys };
        let purge = self.active.removing_purge(&copy, generated_ms?)?;
        self.metrics.purged_replies += 1;
        Some(purge)
    }

    fn cache_keys(&mut self, object: ObjectId, surrogate_keys: &[SurrogateKey]) {
        let is_cached = self.surrogate_keys.peek(&object).is_some_and(|cached| cached[..] == *surrogate_keys);
        if !surrogate_keys.is_empty() && !is_cached {
            self.surrogate_keys.put(object, surrogate_keys.into());
        }
    }

    /// The number of objects whose surrogate keys are cached.
    pub fn tagged_objects(&self) -> usize {
        self.surrogate_keys.len()
    }
}

impl PurgeFilter for AgeLimiter {
    fn max_age_ms(&mut self, now_ms: f64, copy: RequestedCopy<'_>, requested_ms: u64) -> u64 {
        let name = copy_name(copy.class, copy.object, copy.part);
        let surrogate_keys = self.surrogate_keys.peek(&copy.object).map_or(&[][..], |keys| &keys[..]);
        let copy = CachedCopy { name: &name, object: copy.object, group: copy.group, surrogate_keys };
        match self.active.max_age_ms(now_ms, &copy) {
            Some(limit_ms) if requested_ms == 0 || limit_ms < requested_ms => {
                self.metrics.limited_attempts += 1;
                limit_ms
            }
            _ => requested_ms,
        }
    }

    fn purge_of_reply(&mut self, copy: RequestedCopy<'_>, reply: &CacheReply) -> Option<u64> {
        let purge = self.check_reply(copy, reply.generated_at_ms, &reply.surrogate_keys)?;
        Some(purge.seq)
    }
}

#[cfg(test)]
mod tests;
