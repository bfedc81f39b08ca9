//! The messages between the proxy and a cache, a parent or the origin, independent of the protocol.

use crate::response_path::ResponsePath;
use crate::surrogate_key::SurrogateKey;
use crate::EndpointId;
use bytes::Bytes;

/// The result of a request at a cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyStatus {
    /// The reply carries the content.
    Served,
    /// The client's copy is current, so the reply carries no content.
    NotModified,
    /// The cache has no copy and did not fill one. The request did not run.
    Miss,
    /// The cache has no capacity. The request did not run.
    Overloaded,
    /// The cache failed. The request may have run.
    Error,
    /// The request arrived after its time-out. It did not run.
    Expired,
}

/// A reply of a cache, a parent or the origin.
#[derive(Clone, Debug, PartialEq)]
pub struct CacheReply {
    /// Id of the request.
    pub request_id: u64,
    /// Result of the request.
    pub status: ReplyStatus,
    /// The copy's entity tag without quotes, if there is a copy.
    pub entity_tag: Option<String>,
    /// When the origin generated the copy, in Unix milliseconds.
    pub generated_at_ms: Option<f64>,
    /// The copy's surrogate keys, if the cache supports fleet purges.
    pub surrogate_keys: Vec<SurrogateKey>,
    /// Where the content came from, or where a fill failed; `None` if the cache does not report it.
    pub response_path: Option<ResponsePath>,
    /// The content.
    pub body: Bytes,
}

impl CacheReply {
    /// Creates a reply that consists of a status only.
    pub fn new(request_id: u64, status: ReplyStatus) -> Self {
        Self {
            request_id,
            status,
            entity_tag: None,
            generated_at_ms: None,
            surrogate_keys: Vec::new(),
            response_path: None,
            body: Bytes::new(),
        }
    }
}

/// A request to a cache.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CacheRequest {
    /// Id as text, in the form that is forwarded.
    pub id: String,
    /// Name of the class.
    pub class: String,
    /// Id of the object as text, in the form that is forwarded.
    pub object: String,
    /// Part of the object.
    pub part: u32,
    /// How long the proxy waits for the reply, in milliseconds.
    pub timeout_ms: u64,
    /// The client's idempotency key, if the request has one.
    pub idempotency_key: Option<String>,
    /// The endpoint from which a miss is filled; `None` for no fill.
    pub fill_source: Option<EndpointId>,
    /// Retention priority of the copy in the cache; at 0 the copy is not retained.
    pub retention_rank: u8,
    /// Maximum age of an acceptable copy, in milliseconds; 0 for the limit of the class.
    pub max_age_ms: u64,
    /// Whether the request may join a fill in progress.
    pub join_fill: bool,
    /// Whether the source may fill the miss only from its own copy, without a fill of its own.
    pub only_if_cached: bool,
    /// Whether the cache may serve a stale copy and revalidate it in the background.
    pub revalidate: bool,
    /// Entity tag of the client's copy, without quotes.
    pub client_etag: Option<String>,
    /// The object's group, for caches that support fleet purges by group; `None` if fleet purges are
    /// disabled.
    pub group: Option<u32>,
    /// Body of a write.
    pub body: Bytes,
}

/// A command that the proxy writes to a cache.
#[derive(Clone, Debug, PartialEq)]
pub enum CacheCommand {
    /// Send a request.
    Send(Box<CacheRequest>),
    /// Cancel the request with this id. There is no reply.
    Cancel(String),
}
