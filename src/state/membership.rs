//! The endpoints by id: their records as last published, and the addresses of those that may get new
//! attempts.

use crate::endpoint_list::ListedEndpoint;
use crate::{EndpointId, EndpointState, Micros};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddrV4;

/// The published endpoint list, and the endpoints of it that may get new attempts.
#[derive(Debug, Default)]
pub struct Membership {
    /// Endpoints as published, not adjusted for maintenance.
    listed: HashMap<EndpointId, ListedEndpoint>,
    /// The processes of endpoints that may get new attempts.
    usable: HashMap<EndpointId, Process>,
}

/// The process of an endpoint.
#[derive(Clone, Copy, Debug)]
struct Process {
    address: SocketAddrV4,
    /// When it started, in Unix microseconds; 0 means long ago.
    started_at: Micros,
}

impl Process {
    fn of(endpoint: &ListedEndpoint) -> Self {
        Self { address: endpoint.address, started_at: endpoint.record.started_at }
    }

    /// Whether the process that is listed as `current` is another one: at another address, or started later.
    fn is_replaced_by(&self, current: &Self) -> bool {
        self.address != current.address || self.started_at < current.started_at
    }
}

impl Membership {
    /// Records published endpoints: the complete list if `full`, else only those that changed.
    pub fn record_listed(&mut self, full: bool, endpoints: &[ListedEndpoint]) {
        if full {
            self.listed.clear();
        }
        for endpoint in endpoints {
            let id = endpoint.record.id;
            if endpoint.record.state == EndpointState::Removed {
                self.listed.remove(&id);
            } else {
                self.listed.insert(id, endpoint.clone());
            }
        }
    }

    /// Returns an endpoint as last published.
    pub fn listed(&self, id: EndpointId) -> Option<&ListedEndpoint> {
        self.listed.get(&id)
    }

    /// Iterates over all endpoints as last published.
    pub fn all_listed(&self) -> impl Iterator<Item = &ListedEndpoint> {
        self.listed.values()
    }

    /// Updates the usable endpoints from a full or partial list that was adjusted for maintenance. Returns
    /// the endpoints that are no longer usable, have a new address, or whose process was replaced by one that
    /// started later.
    pub fn update_usable(&mut self, full: bool, endpoints: &[ListedEndpoint]) -> Vec<EndpointId> {
        let before = self.usable.clone();
        if full {
            let listed: HashSet<EndpointId> = endpoints.iter().map(|endpoint| endpoint.record.id).collect();
            self.usable.retain(|id, _| listed.contains(id));
        }
        for endpoint in endpoints {
            let id = endpoint.record.id;
            if endpoint.record.state == EndpointState::Active {
                let mut process = Process::of(endpoint);
                // A later list may name no start.
                if let Some(known) = self.usable.get(&id).filter(|known| known.address == process.address) {
                    process.started_at = process.started_at.max(known.started_at);
                }
                self.usable.insert(id, process);
            } else {
                self.usable.remove(&id);
            }
        }
        let is_changed = |id: &EndpointId, process: &Process| {
            self.usable.get(id).is_none_or(|current| process.is_replaced_by(current))
        };
        let changed = before.into_iter().filter(|(id, process)| is_changed(id, process));
        changed.map(|(id, _)| id).collect()
    }

    /// The address of an endpoint; `None` if it may not get new attempts.
    pub fn address(&self, id: EndpointId) -> Option<SocketAddrV4> {
        self.usable.get(&id).map(|process| process.address)
    }

    /// Whether an endpoint may get new attempts.
    pub fn is_usable(&self, id: EndpointId) -> bool {
        self.usable.contains_key(&id)
    }
}

#[cfg(test)]
mod tests;
