//! The messages between the proxy and a cache, a parent or the origin, in a form that no protocol shapes.

use crate::response_path::ResponsePath;
use crate::surrogate_key::SurrogateKey;
use crate::EndpointId;
use bytes::Bytes;

/// How a cache ended a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyStatus {
    /// It sends the bytes.
    Served,
    /// The client's copy is current: no bytes are sent.
    NotModified,
    /// It has no copy and did not fill one. The request did not run.
    Miss,
    /// It has no capacity. The request did not run.
    Overloaded,
    /// It failed. The request may have run.
    Error,
    /// The request's time was over at its arrival. It did not run.
    Expired,
}

/// The reply to one request.
#[derive(Clone, Debug, PartialEq)]
pub struct CacheReply {
    /// Id of the request.
    pub request_id: u64,
    /// How it ended.
    pub status: ReplyStatus,
    /// The copy's entity tag without quotes, where there is a copy.
    pub entity_tag: Option<String>,
    /// When the origin generated the copy, in Unix milliseconds.
    pub generated_at_ms: Option<f64>,
    /// The copy's surrogate keys, from caches that support fleet purges.
    pub surrogate_keys: Vec<SurrogateKey>,
    /// Where the bytes came from, or where a fill failed; none where the cache does not report it.
    pub path: Option<ResponsePath>,
    /// The bytes.
    pub body: Bytes,
}

impl CacheReply {
    /// A reply of a status alone.
    pub fn new(request_id: u64, status: ReplyStatus) -> Self {
        Self {
            request_id,
            status,
            entity_tag: None,
            generated_at_ms: None,
            surrogate_keys: Vec::new(),
            path: None,
            body: Bytes::new(),
        }
    }
}

/// A request to a cache.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CacheRequest {
    /// Id, in the client's spelling.
    pub id: String,
    /// Name of the class.
    pub class: String,
    /// Object, in the client's spelling.
    pub object: String,
    /// Part of the object.
    pub part: u32,
    /// How long the proxy waits for the reply, in milliseconds.
    pub timeout_ms: u64,
    /// Idempotency key.
    pub idempotency_key: Option<String>,
    /// The endpoint from which a miss is filled; none for no fill.
    pub fill_source: Option<EndpointId>,
    /// Rank at which the cache retains the copy; 0 retains nothing.
    pub retention_rank: u8,
    /// The age of the oldest acceptable copy, in milliseconds; 0 for the bound of the class.
    pub max_age_ms: u64,
    /// Join a fill that is in progress.
    pub join_fill: bool,
    /// The source serves only a copy that it has.
    pub only_if_cached: bool,
    /// Refresh an ageing copy in the background.
    pub background_refresh: bool,
    /// Entity tag of the client's copy, without quotes.
    pub client_tag: Option<String>,
    /// The object's group, for caches that support fleet purges by group; none on the platform.
    pub group: Option<u32>,
    /// Body of a write.
    pub body: Bytes,
}

/// What the proxy writes to a cache.
#[derive(Clone, Debug, PartialEq)]
pub enum CacheCommand {
    /// Sends a request.
    Send(Box<CacheRequest>),
    /// Cancels the request of this id. There is no reply.
    Cancel(String),
}
