//! The members by id, with their addresses and when this proxy was told that they drain or are gone.

use crate::endpoint_list::ListedEndpoint;
use crate::{EndpointId, EndpointState};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddrV4;

/// The list as last told.
#[derive(Debug, Default)]
pub struct Membership {
    /// Endpoints that are listed, as told, whatever their state.
    listed: HashMap<EndpointId, ListedEndpoint>,
    live: HashMap<EndpointId, SocketAddrV4>,
}

impl Membership {
    /// Notes a list or its changes as told.
    pub fn record_listed(&mut self, full: bool, targets: &[ListedEndpoint]) {
        if full {
            self.listed.clear();
        }
        for target in targets {
            if target.record.state == EndpointState::Removed {
                self.listed.remove(&target.record.id);
            } else {
                self.listed.insert(target.record.id, target.clone());
            }
        }
    }

    /// An endpoint's line as last told.
    pub fn listed(&self, id: EndpointId) -> Option<&ListedEndpoint> {
        self.listed.get(&id)
    }

    /// All of them.
    pub fn all_listed(&self) -> impl Iterator<Item = &ListedEndpoint> {
        self.listed.values()
    }

    /// Takes a list or its changes; tells which endpoints may get nothing new from now on, or have moved.
    pub fn update_usable(&mut self, full: bool, targets: &[ListedEndpoint]) -> Vec<EndpointId> {
        let before: Vec<(EndpointId, SocketAddrV4)> = self.live.iter().map(|(id, at)| (*id, *at)).collect();
        if full {
            let listed: HashSet<EndpointId> = targets.iter().map(|t| t.record.id).collect();
            self.live.retain(|id, _| listed.contains(id));
        }
        for target in targets {
            if target.record.state == EndpointState::Active {
                self.live.insert(target.record.id, target.address);
            } else {
                self.live.remove(&target.record.id);
            }
        }
        let moved = before.into_iter().filter(|(id, at)| self.live.get(id) != Some(at));
        moved.map(|(id, _)| id).collect()
    }

    /// The address of an endpoint that may get new work.
    pub fn address(&self, id: EndpointId) -> Option<SocketAddrV4> {
        self.live.get(&id).copied()
    }
}

#[cfg(test)]
mod tests;
