//! The engine's interface to fleet purges, implemented by the `purge` module.

use crate::cache_message::CacheReply;
use crate::ObjectId;

/// The cached copy that an attempt asks for.
#[derive(Clone, Copy, Debug)]
pub struct RequestedCopy<'a> {
    /// Name of the request's class.
    pub class: &'a str,
    /// Id of the object.
    pub object: ObjectId,
    /// Part of the object.
    pub part: u32,
    /// The object's group.
    pub group: u32,
}

/// Limits the age of copies according to the active purges, and recognizes purged copies in replies.
pub trait PurgeFilter {
    /// The maximum age of the copy for an attempt written now, in milliseconds: `requested_ms` (0 for the
    /// limit of the class) or less. `now_ms` is in Unix milliseconds.
    fn max_age_ms(&mut self, now_ms: f64, copy: RequestedCopy<'_>, requested_ms: u64) -> u64;

    /// The sequence number of the purge that covers the copy in a reply, if any.
    fn purge_of_reply(&mut self, copy: RequestedCopy<'_>, reply: &CacheReply) -> Option<u64>;
}
