//! The list of members, from the bulletin or a registry, with what operators say of members by hand.

use super::{Effect, Engine};
use crate::clock::micros_from_ms;
use crate::endpoint_list::{ListedEndpoint, Sequenced, WatchEvent};
use crate::purge::fanout::TargetStatus;
use crate::state::maintenance::{Maintenance, Mark};
use crate::state::requests::IncomingRequest;
use crate::text::format_endpoint_id;
use crate::{AttemptOutcome, EndpointId, EndpointState, Event};
use std::net::{SocketAddr, SocketAddrV4};

impl Engine {
    /// From now on the list of endpoints is a registry's: the bulletin brings purges alone.
    pub fn use_registry(&mut self) {
        self.registry = true;
    }

    /// Takes a list of endpoints, or changes of it, from a registry: the same rules as the bulletin's lists, at once.
    pub fn apply_endpoints(&mut self, full: bool, targets: Vec<ListedEndpoint>) {
        self.membership.record_listed(full, &targets);
        self.update_endpoints(full, targets);
    }

    /// Takes the endpoints that can be read in an event of the bulletin that can't be read whole. Its number stays open.
    pub fn apply_readable_endpoints(&mut self, targets: Vec<ListedEndpoint>) {
        if !self.registry && !targets.is_empty() {
            self.apply_endpoints(false, targets);
        }
    }

    /// How often the list of endpoints has changed.
    pub fn endpoint_list_changes(&self) -> u64 {
        self.endpoint_list_changes
    }

    /// The listed endpoints of a kind: id, address, and whether they take new work.
    pub fn endpoints_of_kind<'e>(
        &'e self,
        model: &'e str,
    ) -> impl Iterator<Item = (EndpointId, SocketAddrV4, bool)> + 'e {
        let listed = self.membership.all_listed().filter(move |t| t.record.kind == model);
        listed.map(|t| (t.record.id, t.address, self.membership.address(t.record.id).is_some()))
    }

    /// Number of the bulletin's last event that was taken.
    pub fn last_event_number(&self) -> u64 {
        self.last_event_number
    }

    /// Counts all events up to this number as taken.
    pub fn skip_events_to(&mut self, no: u64) {
        self.last_event_number = self.last_event_number.max(no);
    }

    /// Takes an event of the bulletin. One that was taken before is skipped.
    pub fn apply_event(&mut self, item: Sequenced) {
        if matches!(item.event, WatchEvent::Heartbeat) || item.number <= self.last_event_number {
            return;
        }
        self.last_event_number = item.number;
        self.counters.bulletin_events += 1;
        match item.event {
            WatchEvent::Heartbeat => {}
            WatchEvent::Endpoints { .. } if self.registry => {}
            WatchEvent::Endpoints { full, endpoints } => {
                self.membership.record_listed(full, &endpoints);
                self.update_endpoints(full, endpoints);
            }
            WatchEvent::Purge { object, group, issued_ms } => {
                let ago = micros_from_ms(self.clock.now() - issued_ms);
                self.events.push_back(Event::Purged { object, group, age: ago });
                self.process_events();
                // Guards the rule on purges: what waits for a connection was bounded before this purge.
                let hit = |ask: &IncomingRequest| object.map_or(ask.group == group, |o| ask.object == o);
                self.end_stale_attempts(|ask, _| hit(ask));
            }
        }
        self.process_events();
    }

    /// Takes a list, or changes of it, as maintenance by hand leaves it.
    pub(super) fn update_endpoints(&mut self, full: bool, mut targets: Vec<ListedEndpoint>) {
        targets.iter_mut().for_each(|target| self.maintenance.apply(&mut target.record));
        let entries = targets.iter().map(|t| self.settings.endpoint(&t.record)).collect();
        let gone = self.membership.update_usable(full, &targets);
        self.endpoint_list_changes += 1;
        // The module learns of it first: asked anew before, it would name the same endpoint again.
        self.events.push_back(Event::EndpointsChanged { full, entries });
        self.process_events();
        gone.into_iter().for_each(|endpoint| self.retire_endpoint(endpoint));
        self.process_events();
    }

    /// An endpoint drains, is gone or has moved: nothing new goes there, whatever waits for it is asked of the
    /// module again, and its connections end once they have nothing out. Its address may be another's soon.
    fn retire_endpoint(&mut self, endpoint: EndpointId) {
        for (conn, c) in self.connections.iter_mut().filter(|(_, c)| c.endpoint == endpoint) {
            c.closing = true;
            self.effects.push_back(Effect::Wake(*conn));
        }
        self.end_stale_attempts(|_, attempt| attempt.to == endpoint || attempt.source == Some(endpoint));
    }

    /// Takes an endpoint out of use by hand, or puts it back; false where nobody has that id.
    pub fn set_out_of_use(&mut self, id: EndpointId, out: bool) -> bool {
        if self.membership.listed(id).is_none() && !self.maintenance.is_out(id) {
            return false;
        }
        self.merge_maintenance([(id, Mark { out, at_ms: self.clock.now() })]);
        true
    }

    /// Takes words on endpoints that another process of this proxy may have been given.
    pub fn merge_maintenance(&mut self, marks: impl IntoIterator<Item = (EndpointId, Mark)>) {
        for (id, mark) in marks {
            if self.maintenance.record(id, mark) {
                self.counters.maintenance += 1;
                self.membership
                    .listed(id)
                    .cloned()
                    .into_iter()
                    .for_each(|target| self.update_endpoints(false, vec![target]));
            }
        }
    }

    /// What operators said of endpoints.
    pub fn maintenance(&self) -> &Maintenance {
        &self.maintenance
    }

    /// The caches and parents of the membership as targets of fleet purges, by name, at their own address with
    /// `port`: the origin holds no copies, and an endpoint that is gone is none.
    pub fn purge_targets(&self, port: u16) -> Vec<(String, SocketAddr, TargetStatus)> {
        let listed = self.membership.all_listed().filter(|t| t.record.state != EndpointState::Removed);
        let targets = listed.filter_map(|t| {
            let origin = self.settings.endpoint(&t.record).tier == crate::Tier::Origin;
            let standing = if t.record.state == EndpointState::Active {
                TargetStatus::Listed
            } else {
                TargetStatus::Draining
            };
            let address = SocketAddr::new((*t.address.ip()).into(), port);
            (!origin).then(|| (format_endpoint_id(t.record.id), address, standing))
        });
        let mut targets: Vec<_> = targets.collect();
        targets.sort_by(|a, b| a.0.cmp(&b.0));
        targets
    }

    /// From now on endpoints are probed as shared duties, and what the module would probe is left to those.
    pub fn delegate_health_checks(&mut self) {
        self.health_checks_delegated = true;
    }

    /// Probes found an endpoint down, or up again: the module is told, and decides what follows.
    pub fn report_health_check(&mut self, endpoint: EndpointId, up: bool) {
        let outcome = if up { AttemptOutcome::Served } else { AttemptOutcome::NoConnection };
        self.events.push_back(Event::HealthChecked { endpoint, outcome });
        self.process_events();
    }
}
