//! What the engine needs of fleet purges, which another module implements.

use crate::cache_message::CacheReply;
use crate::ObjectId;

/// The copy that an attempt asks for.
#[derive(Clone, Copy, Debug)]
pub struct RequestedCopy<'a> {
    /// Name of the request's class.
    pub class: &'a str,
    /// The object.
    pub object: ObjectId,
    /// Part of the object.
    pub part: u32,
    /// The object's group.
    pub group: u32,
}

/// Limits the age of copies by the purges in force, and recognizes copies that a purge removed.
pub trait PurgeFilter {
    /// The greatest age of the copy for an attempt written now, in milliseconds: `requested_ms` (0 for the
    /// class's own limit) or less. `now_ms` in Unix milliseconds.
    fn max_age_ms(&mut self, now_ms: f64, copy: RequestedCopy<'_>, requested_ms: u64) -> u64;

    /// The sequence number of the purge that removed the copy in a reply, if any.
    fn purge_of_reply(&mut self, copy: RequestedCopy<'_>, reply: &CacheReply) -> Option<u64>;
}
