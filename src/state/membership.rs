//! The endpoints by id: their records as last published, and the addresses of those that may get new
//! attempts.

use crate::endpoint_list::ListedEndpoint;
use crate::{EndpointId, EndpointState};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddrV4;

/// The published endpoint list, and the endpoints of it that may get new attempts.
#[derive(Debug, Default)]
pub struct Membership {
    /// Endpoints as published, not adjusted for maintenance.
    listed: HashMap<EndpointId, ListedEndpoint>,
    /// Addresses of endpoints that may get new attempts.
    usable: HashMap<EndpointId, SocketAddrV4>,
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
    /// the endpoints that are no longer usable or have a new address.
    pub fn update_usable(&mut self, full: bool, endpoints: &[ListedEndpoint]) -> Vec<EndpointId> {
        let before = self.usable.clone();
        if full {
            let listed: HashSet<EndpointId> = endpoints.iter().map(|endpoint| endpoint.record.id).collect();
            self.usable.retain(|id, _| listed.contains(id));
        }
        for endpoint in endpoints {
            let id = endpoint.record.id;
            if endpoint.record.state == EndpointState::Active {
                self.usable.insert(id, endpoint.address);
            } else {
                self.usable.remove(&id);
            }
        }
        let changed = before.into_iter().filter(|(id, address)| self.usable.get(id) != Some(address));
        changed.map(|(id, _)| id).collect()
    }

    /// The address of an endpoint; `None` if it may not get new attempts.
    pub fn address(&self, id: EndpointId) -> Option<SocketAddrV4> {
        self.usable.get(&id).copied()
    }

    /// Whether an endpoint may get new attempts.
    pub fn is_usable(&self, id: EndpointId) -> bool {
        self.usable.contains_key(&id)
    }
}

#[cfg(test)]
mod tests;
