//! The endpoints by the revisions of a registry. No I/O.
//!
//! The registry has one key for each endpoint under a prefix, with the endpoint's JSON as its value, and numbers every
//! change with a revision, as etcd's v3 API does. The view is a full read at a revision and the changes after it.
//!
//! A change is applied only if it is newer than what the view has of its key, so that a duplicate, or a change that
//! arrives after a newer one of its key, has no effect, while one that arrives after newer changes of other keys is
//! applied. Nothing at or below the revision of the last full read is applied.
//!
//! Where changes were compacted away, the next step is a full read, and the view derives from it what changed: an
//! endpoint that began to drain meanwhile is reported as draining. A registry whose revision is below the view's was
//! restored from an older copy and has begun a new history, in which a watch from the old revision would stay silent,
//! so the next step is a full read as well.

use crate::endpoint_list::ListedEndpoint;
use crate::wire::discovery_json::{EndpointJson, EndpointJsonError};
use crate::{EndpointId, EndpointState};
use std::collections::BTreeMap;

/// The most tombstones. Beyond it the older half is dropped, and changes up to the newest dropped one are rejected.
pub const MAX_TOMBSTONES: usize = 4_096;

/// A key with its value at a revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyValue {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// The revision of its last change.
    pub mod_revision: i64,
}

/// A change of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The key was written.
    Put(KeyValue),
    /// The key was deleted.
    Delete {
        /// The key.
        key: String,
        /// The revision of the deletion.
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

/// A value that can't be used. Its endpoint remains as it was.
#[derive(Debug)]
pub struct RejectedValue {
    /// The key.
    pub key: String,
    /// What is wrong with the value.
    pub error: EndpointJsonError,
}

/// A change of the endpoint list.
#[derive(Debug, Default)]
pub struct Update {
    /// Endpoints that are new, changed or removed.
    pub endpoints: Vec<ListedEndpoint>,
    /// Whether the list is complete: endpoints absent from it are removed.
    pub full: bool,
    /// Endpoints that began to drain.
    pub draining: Vec<EndpointId>,
    /// Values that can't be used.
    pub rejected: Vec<RejectedValue>,
}

impl Update {
    /// Whether the endpoint list is unchanged.
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
    /// Full reads because changes were compacted away.
    pub resyncs: u64,
    /// Full reads because the registry's revision went back.
    pub resets: u64,
    /// Changes newer than the view.
    #[serde(rename = "changes")]
    pub applied_changes: u64,
    /// Changes skipped as outdated or duplicate.
    #[serde(rename = "stale")]
    pub stale_changes: u64,
    /// Values that can't be used.
    #[serde(rename = "faults")]
    pub rejected_values: u64,
    /// Endpoints that a full read after the first one found changed.
    #[serde(rename = "found")]
    pub changes_in_full_reads: u64,
}

/// An endpoint at a revision.
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

/// The endpoints of a registry.
#[derive(Clone, Debug, Default)]
pub struct EndpointView {
    /// The endpoints by key.
    entries: BTreeMap<String, Entry>,
    /// The revision of each deleted key, since the last full read.
    tombstones: BTreeMap<String, i64>,
    /// The revision up to which the view is complete.
    revision: i64,
    /// Changes at or below this revision are skipped.
    skip_through: i64,
    /// Whether the next step is a full read.
    needs_full_read: bool,
    /// Its counters.
    pub metrics: ViewMetrics,
}

impl EndpointView {
    /// A view without endpoints, before the first full read.
    pub fn new() -> Self {
        Self { needs_full_read: true, ..Self::default() }
    }

    /// The revision up to which the view is complete.
    pub fn revision(&self) -> i64 {
        self.revision
    }

    /// The endpoints.
    pub fn endpoints(&self) -> impl Iterator<Item = &ListedEndpoint> {
        self.entries.values().map(|entry| &entry.endpoint)
    }

    /// The revision from which a watch is to start; `None` where a full read must be first.
    pub fn resume_from(&self) -> Option<i64> {
        (!self.needs_full_read).then_some(self.revision + 1)
    }

    /// Records that the changes from which a watch would start were compacted away.
    pub fn record_compaction(&mut self, compact_revision: i64) {
        if !self.needs_full_read {
            self.metrics.resyncs += 1;
        }
        self.needs_full_read = true;
        tracing::warn!(
            revision = self.revision,
            compact_revision,
            "registry: changes were compacted away; starting a full read"
        );
    }

    /// Compares the registry's revision with the view's. Returns whether it went back: the history is a new one, and
    /// the next step is a full read.
    pub fn detect_reset(&mut self, registry_revision: i64) -> bool {
        if registry_revision >= self.revision || self.needs_full_read {
            return false;
        }
        self.metrics.resets += 1;
        self.needs_full_read = true;
        tracing::warn!(
            revision = self.revision,
            registry_revision,
            "registry: its revision went back; starting a full read"
        );
        true
    }

    /// Replaces the endpoints by a full read at a revision, also one below the view's. Returns the complete list.
    pub fn replace_all(&mut self, revision: i64, values: Vec<KeyValue>) -> Update {
        let mut update = Update { full: true, ..Update::default() };
        let entries = self.read_entries(values, &mut update);
        let is_first_read = self.metrics.full_reads == 0;
        let changes = self.count_changes(&entries, &mut update);
        if !is_first_read {
            self.metrics.changes_in_full_reads += changes;
        }
        self.entries = entries;
        self.tombstones.clear();
        self.revision = revision;
        self.skip_through = revision;
        self.needs_full_read = false;
        self.metrics.full_reads += 1;
        update.endpoints = self.endpoints().cloned().collect();
        update
    }

    /// Parses the values of a full read. An endpoint whose value can't be used remains as it was.
    fn read_entries(&mut self, values: Vec<KeyValue>, update: &mut Update) -> BTreeMap<String, Entry> {
        let mut entries = BTreeMap::new();
        for KeyValue { key, value, mod_revision } in values {
            match EndpointJson::parse(&value) {
                Ok(endpoint) => {
                    entries.insert(key, Entry { endpoint, revision: mod_revision });
                }
                Err(error) => {
                    if let Some(known) = self.entries.get(&key) {
                        entries.insert(key.clone(), known.clone());
                    }
                    self.reject(key, error, update);
                }
            }
        }
        entries
    }

    /// Counts the endpoints that are new, removed or in another state, and adds those that began to drain to `update`.
    fn count_changes(&self, entries: &BTreeMap<String, Entry>, update: &mut Update) -> u64 {
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

    /// Applies the changes of a watch, which are complete up to a revision.
    pub fn apply_changes(&mut self, revision: i64, changes: Vec<Change>) -> Update {
        let mut update = Update::default();
        for change in changes {
            if self.is_stale(&change) {
                self.metrics.stale_changes += 1;
                continue;
            }
            self.metrics.applied_changes += 1;
            match change {
                Change::Put(entry) => self.put(entry, &mut update),
                Change::Delete { key, revision } => self.delete(key, revision, &mut update),
            }
        }
        self.revision = self.revision.max(revision);
        self.drop_old_tombstones();
        update
    }

    /// Whether the view has the change, or a newer one of its key.
    fn is_stale(&self, change: &Change) -> bool {
        let entry = self.entries.get(change.key()).map(|entry| entry.revision);
        let known = entry.or_else(|| self.tombstones.get(change.key()).copied());
        change.revision() <= self.skip_through || known.is_some_and(|revision| change.revision() <= revision)
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

    /// Drops the older half of too many tombstones.
    fn drop_old_tombstones(&mut self) {
        if self.tombstones.len() <= MAX_TOMBSTONES {
            return;
        }
        let mut revisions: Vec<i64> = self.tombstones.values().copied().collect();
        revisions.sort_unstable();
        let newest_dropped = revisions[revisions.len() - MAX_TOMBSTONES / 2 - 1];
        self.skip_through = self.skip_through.max(newest_dropped);
        let skip_through = self.skip_through;
        self.tombstones.retain(|_, revision| *revision > skip_through);
    }
}

#[cfg(test)]
mod tests;
