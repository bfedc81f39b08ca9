//! Updates of the endpoint list, from the discovery service or a registry, combined with operators'
//! maintenance calls.

use super::{Effect, Engine};
use crate::clock::micros_from_ms;
use crate::endpoint_list::{ListedEndpoint, Sequenced, WatchEvent};
use crate::state::maintenance::{Maintenance, MaintenanceCall};
use crate::text::format_endpoint_id;
use crate::{AttemptOutcome, EndpointId, EndpointState, Event, ObjectId, Tier};
use std::net::{SocketAddr, SocketAddrV4};

/// Id, address and usability of a listed endpoint, as returned by [`Engine::endpoints_of_kind`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointSummary {
    /// Its id.
    pub id: EndpointId,
    /// Its address.
    pub address: SocketAddrV4,
    /// Whether it may get new requests.
    pub usable: bool,
}

/// A listed cache or parent, which must apply fleet purges.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CacheServer {
    /// Its id as text.
    pub name: String,
    /// Its IP address with the port given by the caller.
    pub address: SocketAddr,
    /// Its state in the published list.
    pub state: EndpointState,
}

impl Engine {
    /// Makes a registry the source of the endpoint list: from now on, endpoint lists of the discovery service
    /// are ignored and only its purges are applied.
    pub fn use_registry(&mut self) {
        self.uses_registry = true;
    }

    /// Applies an endpoint list: the complete list if `full`, else only the endpoints that changed.
    pub fn apply_endpoints(&mut self, full: bool, endpoints: Vec<ListedEndpoint>) {
        self.membership.record_listed(full, &endpoints);
        self.update_endpoints(full, endpoints);
    }

    /// Applies the well-formed endpoints of a discovery event that is malformed otherwise. The event does not
    /// count as applied.
    pub fn apply_valid_endpoints(&mut self, endpoints: Vec<ListedEndpoint>) {
        if !self.uses_registry && !endpoints.is_empty() {
            self.apply_endpoints(false, endpoints);
        }
    }

    /// The number of updates of the endpoint list so far, including those by reloads and maintenance calls.
    pub fn endpoint_list_changes(&self) -> u64 {
        self.endpoint_list_changes
    }

    /// The listed endpoints of a kind.
    pub fn endpoints_of_kind<'e>(&'e self, kind: &'e str) -> impl Iterator<Item = EndpointSummary> + 'e {
        let listed = self.membership.all_listed().filter(move |endpoint| endpoint.record.kind == kind);
        listed.map(|endpoint| EndpointSummary {
            id: endpoint.record.id,
            address: endpoint.address,
            usable: self.membership.is_usable(endpoint.record.id),
        })
    }

    /// Number of the last discovery event that was applied.
    pub fn last_event_number(&self) -> u64 {
        self.last_event_number
    }

    /// Treats all discovery events up to this number as applied.
    pub fn skip_events_to(&mut self, number: u64) {
        self.last_event_number = self.last_event_number.max(number);
    }

    /// Applies a discovery event, unless its number shows that it was applied before.
    pub fn apply_event(&mut self, event: Sequenced) {
        if matches!(event.event, WatchEvent::Heartbeat) || event.number <= self.last_event_number {
            return;
        }
        self.last_event_number = event.number;
        self.counters.discovery_events += 1;
        match event.event {
            WatchEvent::Heartbeat => {}
            WatchEvent::Endpoints { .. } if self.uses_registry => {}
            WatchEvent::Endpoints { full, endpoints } => self.apply_endpoints(full, endpoints),
            WatchEvent::Purge { object, group, issued_ms } => self.apply_purge(object, group, issued_ms),
        }
        self.process_events();
    }

    /// Applies a purge. Queued attempts for the purged objects end, because their age limits predate it.
    fn apply_purge(&mut self, object: Option<ObjectId>, group: u32, issued_ms: f64) {
        let age = micros_from_ms(self.clock.now() - issued_ms);
        self.events.push_back(Event::Purged { object, group, age });
        self.process_events();
        self.end_stale_attempts(|request, _| match object {
            Some(object) => request.object == object,
            None => request.group == group,
        });
    }

    /// Applies an endpoint list, full or partial, after adjusting it for maintenance.
    pub(super) fn update_endpoints(&mut self, full: bool, mut endpoints: Vec<ListedEndpoint>) {
        for endpoint in &mut endpoints {
            self.maintenance.apply(&mut endpoint.record);
        }
        let entries = endpoints.iter().map(|endpoint| self.settings.endpoint(&endpoint.record)).collect();
        let changed = self.membership.update_usable(full, &endpoints);
        self.endpoint_list_changes += 1;
        // The router gets the list before attempts end, or it could choose the same endpoints again.
        self.events.push_back(Event::EndpointsChanged { full, entries });
        self.process_events();
        for endpoint in changed {
            self.retire_endpoint(endpoint);
        }
        self.process_events();
    }

    /// Handles an endpoint that is draining, was removed or has a new address. Its queued attempts end, and
    /// its connections close when their attempts in flight have ended, since another endpoint may get its
    /// address.
    fn retire_endpoint(&mut self, endpoint: EndpointId) {
        for (id, connection) in self.connections.iter_mut() {
            if connection.endpoint == endpoint {
                connection.closing = true;
                self.effects.push_back(Effect::Wake(*id));
            }
        }
        self.end_stale_attempts(|_, attempt| attempt.to == endpoint || attempt.source == Some(endpoint));
    }

    /// Takes an endpoint out of use for maintenance, or puts it back. Returns false if no endpoint has the
    /// id.
    pub fn set_out_of_use(&mut self, id: EndpointId, out_of_use: bool) -> bool {
        if self.membership.listed(id).is_none() && !self.maintenance.is_out_of_use(id) {
            return false;
        }
        self.merge_maintenance([(id, MaintenanceCall { out_of_use, at_ms: self.clock.now() })]);
        true
    }

    /// Records maintenance calls, also those that another process of this proxy received, and applies the
    /// ones that change an endpoint's state.
    pub fn merge_maintenance(&mut self, calls: impl IntoIterator<Item = (EndpointId, MaintenanceCall)>) {
        for (id, call) in calls {
            if !self.maintenance.record(id, call) {
                continue;
            }
            self.counters.maintenance_changes += 1;
            if let Some(endpoint) = self.membership.listed(id).cloned() {
                self.update_endpoints(false, vec![endpoint]);
            }
        }
    }

    /// The recorded maintenance calls.
    pub fn maintenance(&self) -> &Maintenance {
        &self.maintenance
    }

    /// The listed caches and parents, at their own IP addresses with `port`, sorted by name. The origin is
    /// left out, as it holds no copies.
    pub fn cache_servers(&self, port: u16) -> Vec<CacheServer> {
        let listed = self.membership.all_listed();
        let present = listed.filter(|endpoint| endpoint.record.state != EndpointState::Removed);
        let caches_and_parents =
            present.filter(|endpoint| self.settings.endpoint(&endpoint.record).tier != Tier::Origin);
        let servers = caches_and_parents.map(|endpoint| CacheServer {
            name: format_endpoint_id(endpoint.record.id),
            address: SocketAddr::new((*endpoint.address.ip()).into(), port),
            state: endpoint.record.state,
        });
        let mut servers: Vec<CacheServer> = servers.collect();
        servers.sort_by(|a, b| a.name.cmp(&b.name));
        servers
    }

    /// Leaves health checks to the fleet's shared checker, which reports results with
    /// [`Self::report_health_check`]. The router's own [`CheckHealth`](crate::Action::CheckHealth) actions
    /// are ignored from now on.
    pub fn delegate_health_checks(&mut self) {
        self.health_checks_delegated = true;
    }

    /// Reports that the shared health checks found an endpoint down, or up again.
    pub fn report_health_check(&mut self, endpoint: EndpointId, up: bool) {
        let outcome = if up { AttemptOutcome::Served } else { AttemptOutcome::NoConnection };
        self.events.push_back(Event::HealthChecked { endpoint, outcome });
        self.process_events();
    }
}
