//! The members as a registry's revisions tell them: the decision part of the registry client. No I/O.
//!
//! The registry keeps one key a member under a prefix, its value the member's JSON line, and numbers every change
//! with a revision, as etcd's v3 API does. The view is a full read at a revision, then the changes after it,
//! in order. It takes a change only if it is newer than what it holds of that key, so that a change that comes
//! twice, or after a newer one of its key, changes nothing, while one that comes after newer ones of other keys is
//! taken; and it takes nothing at or below the floor, the revision of its last full read. Where the changes it would need were compacted away, it asks for a full read again and derives from it
//! what changed meanwhile: a drain that was written while it was away is found there, never missed. A registry
//! that tells of a revision below the view's (restored from an older copy, say) has begun a new history: a watch
//! there would wait for revisions that may be years away, so the next step is a full read as well.

use crate::endpoint_list::ListedEndpoint;
use crate::wire::discovery_json::EndpointJson;
use crate::EndpointState;
use std::collections::BTreeMap;

/// A key's value at a revision, as a read gives it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Kv {
    /// The key.
    pub key: String,
    /// The value's bytes.
    pub value: Vec<u8>,
    /// The revision of its last change.
    pub mod_revision: i64,
}

/// One change, as a watch gives it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A key was written.
    Put(Kv),
    /// A key was deleted, at this revision.
    Delete {
        /// The key.
        key: String,
        /// The revision of the deletion.
        revision: i64,
    },
}

/// Deletions remembered at the most. Beyond them the oldest are forgotten and the floor rises to the newest of
/// those, so that nothing they guarded against can come back.
pub const MAX_TOMBSTONES: usize = 4_096;

/// What the engine is to hear.
#[derive(Clone, Debug, Default)]
pub struct Update {
    /// Endpoints that are new or changed, and those that are gone (as gone), since the last update.
    pub targets: Vec<ListedEndpoint>,
    /// The whole list: endpoints absent from it have gone.
    pub full: bool,
    /// Endpoints that began to drain, by id.
    pub drains: Vec<u32>,
    /// Values that could not be read, by key: their endpoints stay as they were.
    pub faults: Vec<(String, String)>,
}

impl Update {
    /// Whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.targets.is_empty() && !self.full
    }
}

/// Figures of a view.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct ViewFigures {
    /// Full reads taken.
    pub reads: u64,
    /// Full reads that were needed because the changes since were compacted away.
    pub resyncs: u64,
    /// Full reads that were needed because the registry's revisions went back.
    pub resets: u64,
    /// Changes taken.
    pub changes: u64,
    /// Changes skipped as old or doubled.
    pub stale: u64,
    /// Values that could not be read.
    pub faults: u64,
    /// Endpoints found changed by a full read after a break: what a watch would have told.
    pub found: u64,
}

/// The view. See the module's page.
#[derive(Clone, Debug, Default)]
pub struct MemberView {
    endpoints: BTreeMap<String, (ListedEndpoint, i64)>,
    /// The last revision of each key that is deleted, since the last full read.
    tombstones: BTreeMap<String, i64>,
    /// The revision up to which the view is whole.
    revision: i64,
    /// Nothing at or below it is taken.
    floor: i64,
    resync: bool,
    /// Its figures.
    pub figures: ViewFigures,
}

impl MemberView {
    /// A view that has read nothing yet.
    pub fn new() -> Self {
        Self { resync: true, ..Self::default() }
    }

    /// The revision up to which the view is whole.
    pub fn revision(&self) -> i64 {
        self.revision
    }

    /// The endpoints held.
    pub fn endpoints(&self) -> impl Iterator<Item = &ListedEndpoint> {
        self.endpoints.values().map(|(target, _)| target)
    }

    /// The revision from which a watch is to start, or none where a full read must come first.
    pub fn resume_from(&self) -> Option<i64> {
        (!self.resync).then_some(self.revision + 1)
    }

    /// The changes from where the watch would start were compacted away: the next step is a full read.
    pub fn compacted(&mut self, compact_revision: i64) {
        if !self.resync {
            self.figures.resyncs += 1;
        }
        self.resync = true;
        tracing::warn!(
            at = self.revision,
            compact_revision,
            "registry: changes compacted away; reading all again"
        );
    }

    /// The registry stands at `revision`. Returns whether its history began anew, below what the view holds: the
    /// next step is a full read.
    pub fn stands_at(&mut self, revision: i64) -> bool {
        if revision >= self.revision || self.resync {
            return false;
        }
        self.figures.resets += 1;
        self.resync = true;
        tracing::warn!(at = self.revision, revision, "registry: its revisions went back; reading all again");
        true
    }

    /// Takes a full read at `revision`. Tells the whole list, and counts what changed since the view before.
    pub fn read(&mut self, revision: i64, kvs: Vec<Kv>) -> Update {
        let mut update = Update { full: true, ..Update::default() };
        let mut fresh = BTreeMap::new();
        for kv in kvs {
            match EndpointJson::parse(&kv.value) {
                Ok(target) => {
                    fresh.insert(kv.key, (target, kv.mod_revision));
                }
                Err(reason) => {
                    self.figures.faults += 1;
                    // An endpoint that can't be read now stays as it was.
                    if let Some(old) = self.endpoints.get(&kv.key) {
                        fresh.insert(kv.key.clone(), old.clone());
                    }
                    update.faults.push((kv.key, reason.to_string()));
                }
            }
        }
        let was_reading = self.figures.reads > 0;
        for (key, (target, _)) in &fresh {
            let before = self.endpoints.get(key).map(|(old, _)| old.record.state);
            if before != Some(target.record.state) {
                self.figures.found += u64::from(was_reading);
                if target.record.state == EndpointState::Draining {
                    update.drains.push(target.record.id);
                }
            }
        }
        let gone = self.endpoints.keys().filter(|key| !fresh.contains_key(*key)).count();
        self.figures.found += if was_reading { gone as u64 } else { 0 };
        self.endpoints = fresh;
        self.tombstones.clear();
        // The read is the truth, also where it stands below what was held.
        (self.revision, self.floor) = (revision, revision);
        self.resync = false;
        self.figures.reads += 1;
        update.targets = self.endpoints.values().map(|(target, _)| target.clone()).collect();
        update
    }

    /// Takes the changes that a watch told, up to `revision`.
    pub fn changes(&mut self, revision: i64, changes: Vec<Change>) -> Update {
        let mut update = Update::default();
        for change in changes {
            let (key, at) = match &change {
                Change::Put(kv) => (kv.key.clone(), kv.mod_revision),
                Change::Delete { key, revision } => (key.clone(), *revision),
            };
            let held =
                self.endpoints.get(&key).map(|(_, rev)| *rev).or_else(|| self.tombstones.get(&key).copied());
            if at <= self.floor || held.is_some_and(|rev| at <= rev) {
                self.figures.stale += 1;
                continue;
            }
            self.figures.changes += 1;
            match change {
                Change::Put(kv) => match EndpointJson::parse(&kv.value) {
                    Ok(target) => {
                        let was = self.endpoints.get(&key).map(|(old, _)| old.record.state);
                        if target.record.state == EndpointState::Draining
                            && was != Some(EndpointState::Draining)
                        {
                            update.drains.push(target.record.id);
                        }
                        self.tombstones.remove(&key);
                        self.endpoints.insert(key, (target.clone(), at));
                        update.targets.push(target);
                    }
                    Err(reason) => {
                        self.figures.faults += 1;
                        update.faults.push((key, reason.to_string()));
                    }
                },
                Change::Delete { .. } => {
                    if let Some((mut target, _)) = self.endpoints.remove(&key) {
                        target.record.state = EndpointState::Removed;
                        update.targets.push(target);
                    }
                    self.tombstones.insert(key, at);
                }
            }
        }
        self.revision = self.revision.max(revision);
        self.forget_old_deletions();
        update
    }

    fn forget_old_deletions(&mut self) {
        if self.tombstones.len() <= MAX_TOMBSTONES {
            return;
        }
        let mut at: Vec<i64> = self.tombstones.values().copied().collect();
        at.sort_unstable();
        // Half goes at once, so that this is rare.
        self.floor = self.floor.max(at[at.len() - MAX_TOMBSTONES / 2 - 1]);
        let floor = self.floor;
        self.tombstones.retain(|_, rev| *rev > floor);
    }
}

#[cfg(test)]
mod tests;
