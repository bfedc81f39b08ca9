//! The adapter's replies: actions, with the names of the simulator protocol.

use edge_proxy::{Action, EndpointId, Micros, RequestId};
use serde::{Serialize, Serializer};

/// Miss option bit: join a fill in progress.
const JOIN_FILL: u32 = 1;
/// Miss option bit: the source serves only from its cache.
const ONLY_IF_CACHED: u32 = 1 << 1;
/// Miss option bit: revalidate a stale copy in the background.
const REVALIDATE: u32 = 1 << 3;

/// A reply. Its fields are serialized in declaration order.
#[derive(Serialize)]
#[serde(tag = "cmd")]
pub enum Reply {
    #[serde(rename = "Place")]
    ForwardUnchanged {
        #[serde(rename = "i")]
        instance: u64,
        #[serde(rename = "requestId", serialize_with = "serialize_hex")]
        id: RequestId,
        #[serde(rename = "cache")]
        to: EndpointId,
        #[serde(rename = "capUs")]
        timeout: Micros,
    },
    #[serde(rename = "LookAndFill")]
    Forward {
        #[serde(rename = "i")]
        instance: u64,
        #[serde(rename = "requestId", serialize_with = "serialize_hex")]
        id: RequestId,
        #[serde(rename = "cache")]
        to: EndpointId,
        source: EndpointId,
        #[serde(rename = "how")]
        miss_options: u32,
        #[serde(rename = "ageSpanUs")]
        max_age: Micros,
        #[serde(rename = "retain")]
        retention_rank: u8,
        #[serde(rename = "capUs")]
        timeout: Micros,
    },
    #[serde(rename = "OverloadReply")]
    Reject {
        #[serde(rename = "i")]
        instance: u64,
        #[serde(rename = "requestId", serialize_with = "serialize_hex")]
        id: RequestId,
        #[serde(rename = "waitUs")]
        retry_after: Micros,
    },
    #[serde(rename = "ReportFailure")]
    Fail {
        #[serde(rename = "i")]
        instance: u64,
        #[serde(rename = "requestId", serialize_with = "serialize_hex")]
        id: RequestId,
    },
    #[serde(rename = "Abandon")]
    Cancel {
        #[serde(rename = "i")]
        instance: u64,
        #[serde(rename = "requestId", serialize_with = "serialize_hex")]
        id: RequestId,
        #[serde(rename = "hop")]
        attempt: u32,
    },
    #[serde(rename = "SoundOut")]
    CheckHealth {
        #[serde(rename = "i")]
        instance: u64,
        #[serde(rename = "cache")]
        endpoint: EndpointId,
    },
    #[serde(rename = "After")]
    SetTimer {
        #[serde(rename = "i")]
        instance: u64,
        #[serde(rename = "ctx")]
        token: u64,
        #[serde(rename = "dueAtUs")]
        at: Micros,
    },
    #[serde(rename = "Tail")]
    Watch {
        #[serde(rename = "i")]
        instance: u64,
        enable: bool,
    },
}

impl Reply {
    /// Converts an action of an instance's router to a reply.
    pub fn from_action(instance: u64, action: Action) -> Self {
        match action {
            Action::Forward { id, to, source: None, timeout, .. } => {
                Self::ForwardUnchanged { instance, id, to, timeout }
            }
            Action::Forward {
                id,
                to,
                source: Some(source),
                join_fill,
                only_if_cached,
                revalidate,
                max_age,
                retention_rank,
                timeout,
                ..
            } => {
                let miss_options = miss_options(join_fill, only_if_cached, revalidate);
                Self::Forward { instance, id, to, source, miss_options, max_age, retention_rank, timeout }
            }
            Action::Reject { id, retry_after, .. } => Self::Reject { instance, id, retry_after },
            Action::Fail { id, .. } => Self::Fail { instance, id },
            Action::Cancel { id, attempt } => Self::Cancel { instance, id, attempt },
            Action::CheckHealth { endpoint } => Self::CheckHealth { instance, endpoint },
            Action::SetTimer { token, at } => Self::SetTimer { instance, token, at },
            Action::Watch => Self::Watch { instance, enable: true },
        }
    }
}

/// Encodes what a cache does on a miss as a bit mask.
fn miss_options(join_fill: bool, only_if_cached: bool, revalidate: bool) -> u32 {
    let options = [(join_fill, JOIN_FILL), (only_if_cached, ONLY_IF_CACHED), (revalidate, REVALIDATE)];
    options.iter().filter(|(chosen, _)| *chosen).map(|(_, bit)| bit).sum()
}

/// Serializes a request id as 16 hex digits.
fn serialize_hex<S: Serializer>(id: &RequestId, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_str(&format!("{id:016x}"))
}
