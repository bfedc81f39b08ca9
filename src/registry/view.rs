//! Local copy of the endpoint list in the registry. No I/O.
//!
//! The registry has one key per endpoint, with the endpoint's JSON as value, and assigns a revision to every
//! change, as etcd's v3 API does. The view consists of a full read at some revision and the changes since.
//!
//! A change is applied only if its revision is higher than that of the last full read and than the revision
//! of its key in the view. Therefore duplicate and outdated changes have no effect, and changes of different
//! keys may arrive in any order.
//!
//! If changes were compacted before they were received, the view needs a full read, and reports endpoints
//! that began to drain in the meantime. The view also needs a full read if the registry's revision decreases,
//! as after a restore from a backup: a watch from the old revision would not receive the new changes.

use crate::endpoint_list::ListedEndpoint;
use crate::wire::discovery_json::{EndpointJson, EndpointJsonError};
use crate::{EndpointId, EndpointState};
use std::collections::BTreeMap;

/// Maximum number of tombstones. If there are more, the older half is dropped, and changes up to the highest
/// dropped revision are then ignored as outdated.
pub const MAX_TOMBSTONES: usize = 4_096;

/// A key with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyValue {
    /// Key in UTF-8.
    pub key: String,
    /// Value, usually the JSON of an endpoint.
    pub value: Vec<u8>,
    /// Revision of the last change of the key.
    pub mod_revision: i64,
}

/// A change of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The key was written.
    Put(KeyValue),
    /// The key was deleted.
    Delete {
        /// Deleted key.
        key: String,
        /// Revision of the deletion.
        revision: i64,
    },
}

impl Change {
    fn key(&self) -> &str {
        match self {
            Self::Put(entry) => &entry.key,
            Self::Delete { key, .. } => key,
        }
    }

    fn revision(&self) -> i64 {
        match self {
            Self::Put(entry) => entry.mod_revision,
            Self::Delete { revision, .. } => *revision,
        }
    }
}

/// A value that isn't valid endpoint JSON. The previous state of its endpoint is kept.
#[derive(Debug)]
pub struct RejectedValue {
    /// Key of the value.
    pub key: String,
    /// Parse error.
    pub error: EndpointJsonError,
}

/// Changes to pass to the engine, and events to log.
#[derive(Debug, Default)]
pub struct Update {
    /// New, changed and removed endpoints, or all endpoints if `full`.
    pub endpoints: Vec<ListedEndpoint>,
    /// Whether `endpoints` is the complete list: endpoints that are absent from it are removed.
    pub full: bool,
    /// Endpoints that started to drain.
    pub draining: Vec<EndpointId>,
    /// Values that were rejected as malformed.
    pub rejected: Vec<RejectedValue>,
}

impl Update {
    /// Whether there is nothing to pass to the engine.
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty() && !self.full
    }
}

/// Counters of a view.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct ViewMetrics {
    /// Full reads.
    #[serde(rename = "reads")]
    pub full_reads: u64,
    /// Full reads because changes were compacted before they were received.
    pub resyncs: u64,
    /// Full reads because the registry's revision decreased.
    pub resets: u64,
    /// Changes of a watch that were neither duplicate nor outdated, including those with malformed values.
    #[serde(rename = "changes")]
    pub fresh_changes: u64,
    /// Changes of a watch that were skipped as outdated or duplicate.
    #[serde(rename = "stale")]
    pub stale_changes: u64,
    /// Values that were rejected as malformed.
    #[serde(rename = "faults")]
    pub rejected_values: u64,
    /// Endpoints found to be new, removed or in another state by full reads after the first.
    #[serde(rename = "found")]
    pub changes_in_full_reads: u64,
}

/// An endpoint with the revision of its last change.
#[derive(Clone, Debug)]
struct Entry {
    endpoint: ListedEndpoint,
    revision: i64,
}

impl Entry {
    fn state(&self) -> EndpointState {
        self.endpoint.record.state
    }
}

/// Local copy of the endpoint list of a registry.
#[derive(Clone, Debug, Default)]
pub struct EndpointView {
    /// Endpoints by key.
    entries: BTreeMap<String, Entry>,
    /// Revisions of the keys that were deleted since the last full read.
    tombstones: BTreeMap<String, i64>,
    /// Revision up to which the view is complete.
    revision: i64,
    /// Changes up to this revision are ignored as outdated.
    outdated_through: i64,
    /// Whether a full read is needed.
    needs_full_read: bool,
    /// Counters for the admin endpoint.
    pub metrics: ViewMetrics,
}

impl EndpointView {
    /// Creates an empty view, which needs a full read.
    pub fn new() -> Self {
        Self { needs_full_read: true, ..Self::default() }
    }

    /// Revision up to which the view is complete.
    pub fn revision(&self) -> i64 {
        self.revision
    }

    /// Iterates over the endpoints.
    pub fn endpoints(&self) -> impl Iterator<Item = &ListedEndpoint> {
        self.entries.values().map(|entry| &entry.endpoint)
    }

    /// Revision from which to start a watch. `None` if a full read is needed first.
    pub fn next_watch_revision(&self) -> Option<i64> {
        (!self.needs_full_read).then_some(self.revision + 1)
    }

    /// Requires a full read, because the start revision of a watch was compacted.
    pub fn record_compaction(&mut self, compact_revision: i64) {
        if !self.needs_full_read {
            self.metrics.resyncs += 1;
        }
        self.needs_full_read = true;
        tracing::warn!(
            revision = self.revision,
            compact_revision,
            "registry: start revision of the watch was compacted; starting a full read"
        );
    }

    /// Detects that the registry's history was reset, by a revision lower than the view's. If so, requires a
    /// full read and returns true.
    pub fn detect_reset(&mut self, registry_revision: i64) -> bool {
        if registry_revision >= self.revision || self.needs_full_read {
            return false;
        }
        self.metrics.resets += 1;
        self.needs_full_read = true;
        tracing::warn!(
            revision = self.revision,
            registry_revision,
            "registry: revision is lower than before; starting a full read"
        );
        true
    }

    /// Replaces the endpoints with those of a full read at `revision`, which may be lower than the view's.
    /// Returns the complete list.
    pub fn replace_all(&mut self, revision: i64, values: Vec<KeyValue>) -> Update {
        let mut update = Update { full: true, ..Update::default() };
        let entries = self.parse_entries(values, &mut update);
        let is_first_read = self.metrics.full_reads == 0;
        let changes = self.compare_states(&entries, &mut update);
        if !is_first_read {
            self.metrics.changes_in_full_reads += changes;
        }
        self.entries = entries;
        self.tombstones.clear();
        self.revision = revision;
        self.outdated_through = revision;
        self.needs_full_read = false;
        self.metrics.full_reads += 1;
        update.endpoints = self.endpoints().cloned().collect();
        update
    }

    /// Parses the values of a full read. Keeps the previous state of an endpoint whose value is malformed.
    fn parse_entries(&mut self, values: Vec<KeyValue>, update: &mut Update) -> BTreeMap<String, Entry> {
        let mut entries = BTreeMap::new();
        for KeyValue { key, value, mod_revision } in values {
            match EndpointJson::parse(&value) {
                Ok(endpoint) => {
                    entries.insert(key, Entry { endpoint, revision: mod_revision });
                }
                Err(error) => {
                    if let Some(previous) = self.entries.get(&key) {
                        entries.insert(key.clone(), previous.clone());
                    }
                    self.reject(key, error, update);
                }
            }
        }
        entries
    }

    /// Returns the number of endpoints that are new, removed or in another state. Adds those that are newly
    /// draining to `update`.
    fn compare_states(&self, entries: &BTreeMap<String, Entry>, update: &mut Update) -> u64 {
        let mut changes = 0;
        for (key, entry) in entries {
            if self.entries.get(key).map(Entry::state) == Some(entry.state()) {
                continue;
            }
            changes += 1;
            if entry.state() == EndpointState::Draining {
                update.draining.push(entry.endpoint.record.id);
            }
        }
        let removed = self.entries.keys().filter(|key| !entries.contains_key(*key)).count();
        changes + removed as u64
    }

    /// Applies the changes of a watch message. The view is then complete up to `revision`.
    pub fn apply_changes(&mut self, revision: i64, changes: Vec<Change>) -> Update {
        let mut update = Update::default();
        for change in changes {
            if self.is_stale(&change) {
                self.metrics.stale_changes += 1;
                continue;
            }
            self.metrics.fresh_changes += 1;
            match change {
                Change::Put(entry) => self.put(entry, &mut update),
                Change::Delete { key, revision } => self.delete(key, revision, &mut update),
            }
        }
        self.revision = self.revision.max(revision);
        self.drop_old_tombstones();
        update
    }

    /// Whether the change is a duplicate or older than the view's state of its key.
    fn is_stale(&self, change: &Change) -> bool {
        let entry = self.entries.get(change.key()).map(|entry| entry.revision);
        let last_revision = entry.or_else(|| self.tombstones.get(change.key()).copied());
        change.revision() <= self.outdated_through
            || last_revision.is_some_and(|revision| change.revision() <= revision)
    }

    fn put(&mut self, KeyValue { key, value, mod_revision }: KeyValue, update: &mut Update) {
        let endpoint = match EndpointJson::parse(&value) {
            Ok(endpoint) => endpoint,
            Err(error) => return self.reject(key, error, update),
        };
        let entry = Entry { endpoint: endpoint.clone(), revision: mod_revision };
        let is_draining = entry.state() == EndpointState::Draining;
        let was_draining = self.entries.get(&key).map(Entry::state) == Some(EndpointState::Draining);
        if is_draining && !was_draining {
            update.draining.push(endpoint.record.id);
        }
        update.endpoints.push(endpoint);
        self.tombstones.remove(&key);
        self.entries.insert(key, entry);
    }

    fn delete(&mut self, key: String, revision: i64, update: &mut Update) {
        if let Some(Entry { mut endpoint, .. }) = self.entries.remove(&key) {
            endpoint.record.state = EndpointState::Removed;
            update.endpoints.push(endpoint);
        }
        self.tombstones.insert(key, revision);
    }

    fn reject(&mut self, key: String, error: EndpointJsonError, update: &mut Update) {
        self.metrics.rejected_values += 1;
        update.rejected.push(RejectedValue { key, error });
    }

    /// Drops the older half of the tombstones if there are more than [`MAX_TOMBSTONES`].
    fn drop_old_tombstones(&mut self) {
        if self.tombstones.len() <= MAX_TOMBSTONES {
            return;
        }
        let mut revisions: Vec<i64> = self.tombstones.values().copied().collect();
        revisions.sort_unstable();
        let newest_dropped = revisions[revisions.len() - MAX_TOMBSTONES / 2 - 1];
        self.outdated_through = self.outdated_through.max(newest_dropped);
        let outdated_through = self.outdated_through;
        self.tombstones.retain(|_, revision| *revision > outdated_through);
    }
}

#[cfg(test)]
mod tests;
