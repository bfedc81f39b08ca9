//! JSON bodies of etcd's v3 API as encoded by its JSON gateway: keys and values are base64, 64-bit numbers
//! are strings, and the response to a watch request is a stream of JSON objects, one per line.
//!
//! | call | request body | response body |
//! | --- | --- | --- |
//! | `POST /v3/kv/range` | `{"key", "range_end"}` | `{"header":{"revision"}, "kvs":[{"key","value","mod_revision"}]}` |
//! | `POST /v3/watch` | `{"create_request":{"key","range_end","start_revision","progress_notify"}}` | lines of `{"result":{"header","created"|"events"|"canceled","compact_revision"}}` |

use super::error::ProtocolError;
use super::view::{Change, KeyValue};
use base64::engine::general_purpose::STANDARD;
use base64::Engine as _;
use serde::{Deserialize, Deserializer};

/// Type of an event that deletes a key. The gateway omits the type if the key was written.
const DELETE_EVENT: &str = "DELETE";

#[derive(Debug, Default, Deserialize)]
struct HeaderJson {
    #[serde(default, deserialize_with = "int64")]
    revision: i64,
}

#[derive(Debug, Deserialize)]
struct KeyValueJson {
    key: String,
    #[serde(default)]
    value: String,
    #[serde(default, deserialize_with = "int64")]
    mod_revision: i64,
}

#[derive(Debug, Deserialize)]
struct RangeJson {
    #[serde(default)]
    header: HeaderJson,
    #[serde(default)]
    kvs: Vec<KeyValueJson>,
}

#[derive(Debug, Deserialize)]
struct EventJson {
    #[serde(default, rename = "type")]
    kind: Option<String>,
    kv: KeyValueJson,
}

#[derive(Debug, Deserialize)]
struct WatchResultJson {
    #[serde(default)]
    header: HeaderJson,
    #[serde(default)]
    created: bool,
    #[serde(default)]
    canceled: bool,
    #[serde(default, deserialize_with = "int64")]
    compact_revision: i64,
    #[serde(default)]
    events: Vec<EventJson>,
}

#[derive(Debug, Deserialize)]
struct WatchLineJson {
    result: Option<WatchResultJson>,
    error: Option<simd_json::OwnedValue>,
}

/// Deserializes a 64-bit integer from a JSON string or number; `null` becomes 0.
fn int64<'de, D: Deserializer<'de>>(deserializer: D) -> Result<i64, D::Error> {
    #[derive(Deserialize)]
    #[serde(untagged)]
    enum TextOrNumber {
        Text(String),
        Number(i64),
    }
    match Option::<TextOrNumber>::deserialize(deserializer)? {
        None => Ok(0),
        Some(TextOrNumber::Number(number)) => Ok(number),
        Some(TextOrNumber::Text(text)) => text.parse().map_err(serde::de::Error::custom),
    }
}

impl TryFrom<KeyValueJson> for KeyValue {
    type Error = ProtocolError;

    fn try_from(json: KeyValueJson) -> Result<Self, ProtocolError> {
        let value = STANDARD.decode(&json.value)?;
        let key = String::from_utf8(STANDARD.decode(&json.key)?).map_err(|_| ProtocolError::KeyNotUtf8)?;
        Ok(Self { key, value, mod_revision: json.mod_revision })
    }
}

impl TryFrom<EventJson> for Change {
    type Error = ProtocolError;

    fn try_from(json: EventJson) -> Result<Self, ProtocolError> {
        let is_delete = json.kind.as_deref() == Some(DELETE_EVENT);
        let entry = KeyValue::try_from(json.kv)?;
        Ok(match is_delete {
            true => Self::Delete { key: entry.key, revision: entry.mod_revision },
            false => Self::Put(entry),
        })
    }
}

/// Response to a range call: all keys with a prefix, at one revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RangeResponse {
    /// Revision of the registry at the time of the read.
    pub revision: i64,
    /// The keys and their values.
    pub entries: Vec<KeyValue>,
}

/// A message of a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchResponse {
    /// The watch was created.
    Created {
        /// Current revision of the registry.
        revision: i64,
    },
    /// Changes of keys.
    Changes {
        /// Revision up to which all changes have been sent.
        revision: i64,
        /// Changes in the order of the message.
        changes: Vec<Change>,
    },
    /// Progress notification: all changes up to this revision have been sent.
    Progress {
        /// Current revision of the registry.
        revision: i64,
    },
    /// The watch was canceled because its start revision was compacted.
    Compacted {
        /// Revision up to which the history was compacted.
        revision: i64,
    },
    /// The registry canceled the watch for another reason.
    Canceled,
}

/// Request body of a range call for all keys with a prefix.
pub fn range_request(prefix: &str) -> String {
    let (key, end) = (STANDARD.encode(prefix), STANDARD.encode(range_end(prefix)));
    format!(r#"{{"key":"{key}","range_end":"{end}"}}"#)
}

/// Request body of a watch call for all keys with a prefix, from a revision on, with progress notifications.
pub fn watch_request(prefix: &str, from_revision: i64) -> String {
    let (key, end) = (STANDARD.encode(prefix), STANDARD.encode(range_end(prefix)));
    format!(
        r#"{{"create_request":{{"key":"{key}","range_end":"{end}","start_revision":"{from_revision}","progress_notify":true}}}}"#
    )
}

/// Exclusive end of the key range of a prefix: the prefix without trailing 0xff bytes and with its last byte
/// incremented. If no byte remains, a single 0 byte, which etcd takes as the end of all keys.
pub fn range_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.pop() {
        if last < 0xff {
            end.push(last + 1);
            return end;
        }
    }
    vec![0]
}

/// Decodes the response body of a range call. Overwrites `body` while parsing.
pub fn decode_range(body: &mut [u8]) -> Result<RangeResponse, ProtocolError> {
    let range: RangeJson = simd_json::from_slice(body)?;
    let entries = range.kvs.into_iter().map(KeyValue::try_from).collect::<Result<_, _>>()?;
    Ok(RangeResponse { revision: range.header.revision, entries })
}

/// Decodes one message line of a watch. Overwrites `line` while parsing.
pub fn decode_watch_line(line: &mut [u8]) -> Result<WatchResponse, ProtocolError> {
    let line: WatchLineJson = simd_json::from_slice(line)?;
    if let Some(error) = line.error {
        return Err(ProtocolError::WatchFailed(error.to_string()));
    }
    let result = line.result.ok_or(ProtocolError::MissingResult)?;
    let revision = result.header.revision;
    if result.canceled {
        return Ok(match result.compact_revision {
            0 => WatchResponse::Canceled,
            compacted => WatchResponse::Compacted { revision: compacted },
        });
    }
    if result.created {
        return Ok(WatchResponse::Created { revision });
    }
    if result.events.is_empty() {
        return Ok(WatchResponse::Progress { revision });
    }
    let changes = result.events.into_iter().map(Change::try_from).collect::<Result<_, _>>()?;
    Ok(WatchResponse::Changes { revision, changes })
}

#[cfg(test)]
mod tests;
