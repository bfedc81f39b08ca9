//! Deficit round robin (Shreedhar and Varghese, SIGCOMM 1995) over tenants: the quantum is the tenant's
//! weight, and all requests cost the same. The clients of a tenant are served by plain round robin.
//!
//! Only tenants and clients with queued requests have state.

use super::decision::{ClientKey, TenantId};
use crate::RequestId;
use ahash::AHashMap;
use std::collections::VecDeque;
use std::mem::size_of;

/// The amount by which a released request reduces its tenant's deficit counter.
const REQUEST_COST: f64 = 1.0;
/// A lower bound on the smallest weight, which limits the number of turns that [`RoundRobin::pop`] tries.
const MIN_WEIGHT: f64 = 0.01;

/// The weights of tenants.
#[derive(Clone, Debug)]
pub struct Weights {
    /// The weight of tenants without an entry in `by_tenant`.
    pub default: f64,
    /// Weights by tenant.
    pub by_tenant: AHashMap<TenantId, f64>,
}

impl Weights {
    /// The weight of `tenant`.
    pub fn of(&self, tenant: TenantId) -> f64 {
        self.by_tenant.get(&tenant).copied().unwrap_or(self.default)
    }

    fn min(&self) -> f64 {
        self.by_tenant.values().copied().chain([self.default]).fold(f64::INFINITY, f64::min)
    }
}

/// The queued requests of one client at one tenant, oldest first.
#[derive(Clone, Debug, Default)]
pub struct ClientQueue {
    tenant: TenantId,
    requests: VecDeque<RequestId>,
}

/// The queues of one client, one for each tenant at which it has queued requests. Most clients have one.
#[derive(Clone, Debug, Default)]
pub struct ClientQueues {
    first: ClientQueue,
    others: Vec<ClientQueue>,
}

impl ClientQueues {
    fn iter(&self) -> impl Iterator<Item = &ClientQueue> {
        std::iter::once(&self.first).chain(&self.others)
    }

    /// The number of requests at a tenant.
    fn depth_at(&self, tenant: TenantId) -> usize {
        self.iter().find(|queue| queue.tenant == tenant).map_or(0, |queue| queue.requests.len())
    }

    fn at_mut(&mut self, tenant: TenantId) -> Option<&mut ClientQueue> {
        let mut queues = std::iter::once(&mut self.first).chain(&mut self.others);
        queues.find(|queue| queue.tenant == tenant)
    }

    /// Adds a request. Returns whether it is the only one at its tenant.
    fn push(&mut self, tenant: TenantId, id: RequestId) -> bool {
        if self.first.requests.is_empty() {
            self.first.tenant = tenant;
        }
        match self.at_mut(tenant) {
            Some(queue) => {
                queue.requests.push_back(id);
                queue.requests.len() == 1
            }
            None => {
                self.others.push(ClientQueue { tenant, requests: VecDeque::from([id]) });
                true
            }
        }
    }

    /// Drops the queues without requests. Returns whether there is no other.
    fn drop_empty(&mut self) -> bool {
        self.others.retain(|queue| !queue.requests.is_empty());
        if self.first.requests.is_empty() {
            match self.others.pop() {
                Some(other) => self.first = other,
                None => return true,
            }
        }
        false
    }

    fn heap_bytes(&self) -> usize {
        let requests: usize = self.iter().map(|queue| queue.requests.capacity()).sum();
        requests * size_of::<RequestId>() + self.others.capacity() * size_of::<ClientQueue>()
    }
}

/// Scheduling state of a tenant: its clients with queued requests, its deficit counter and its number of
/// queued requests.
#[derive(Clone, Debug, Default)]
pub struct TenantQueue {
    /// The clients with a queue at this tenant, each once.
    client_ring: VecDeque<ClientKey>,
    deficit: f64,
    queued_count: usize,
}

/// How the capacity is divided for a new request: the share of its tenant, and the number of clients that
/// divide it.
#[derive(Clone, Copy, Debug)]
pub struct ExpectedShare {
    /// The tenant's share of the capacity.
    pub tenant: f64,
    /// The number of the tenant's clients with queued requests, including the client itself.
    pub clients: usize,
}

/// Queues of requests by tenant and client, scheduled by deficit round robin.
#[derive(Debug)]
pub struct RoundRobin {
    weights: Weights,
    /// The clients with queued requests.
    clients: AHashMap<ClientKey, ClientQueues>,
    tenants: AHashMap<TenantId, TenantQueue>,
    /// The tenants with queued requests, each once.
    tenant_ring: VecDeque<TenantId>,
}

impl RoundRobin {
    /// Creates an empty scheduler.
    pub fn new(weights: Weights) -> Self {
        Self { weights, clients: AHashMap::new(), tenants: AHashMap::new(), tenant_ring: VecDeque::new() }
    }

    /// Replaces the weights. They apply from the next round; queued requests keep their place.
    pub fn set_weights(&mut self, weights: Weights) {
        self.weights = weights;
        for tenant in self.tenants.values_mut() {
            // Otherwise a tenant could spend the larger quantum of its previous weight.
            tenant.deficit = tenant.deficit.min(REQUEST_COST);
        }
    }

    /// The weights in force.
    pub fn weights(&self) -> &Weights {
        &self.weights
    }

    /// The number of queued requests of `client`, over all tenants.
    pub fn client_depth(&self, client: ClientKey) -> usize {
        self.clients.get(&client).map_or(0, |queues| queues.iter().map(|queue| queue.requests.len()).sum())
    }

    /// The number of queued requests of `client` at `tenant`.
    pub fn queue_depth(&self, client: ClientKey, tenant: TenantId) -> usize {
        self.clients.get(&client).map_or(0, |queues| queues.depth_at(tenant))
    }

    /// The number of queued requests of `tenant`.
    pub fn tenant_depth(&self, tenant: TenantId) -> usize {
        self.tenants.get(&tenant).map_or(0, |queue| queue.queued_count)
    }

    /// The number of queued requests by tenant.
    pub fn queued_by_tenant(&self) -> impl Iterator<Item = (TenantId, usize)> + '_ {
        self.tenants.iter().map(|(tenant, queue)| (*tenant, queue.queued_count))
    }

    /// The share of the capacity that a request of this client and tenant can expect while the other queued
    /// tenants and clients remain.
    pub fn expected_share(&self, client: ClientKey, tenant: TenantId) -> ExpectedShare {
        let queued_weight: f64 =
            self.tenant_ring.iter().map(|queued_tenant| self.weights.of(*queued_tenant)).sum();
        let weight = self.weights.of(tenant);
        let joining_weight = if self.tenant_ring.contains(&tenant) { 0.0 } else { weight };
        let clients = self.tenants.get(&tenant).map_or(0, |queue| queue.client_ring.len())
            + usize::from(self.queue_depth(client, tenant) == 0);
        ExpectedShare {
            tenant: weight / (queued_weight + joining_weight).max(f64::MIN_POSITIVE),
            clients: clients.max(1),
        }
    }

    /// Queues a request.
    pub fn push(&mut self, client: ClientKey, tenant: TenantId, id: RequestId) {
        let is_first_of_client = self.clients.entry(client).or_default().push(tenant, id);
        let tenant_queue = self.tenants.entry(tenant).or_default();
        if tenant_queue.queued_count == 0 {
            self.tenant_ring.push_back(tenant);
        }
        tenant_queue.queued_count += 1;
        if is_first_of_client {
            tenant_queue.client_ring.push_back(client);
        }
    }

    /// Removes and returns the next request in order.
    pub fn pop(&mut self) -> Option<RequestId> {
        let rounds_per_tenant = (1.0 / self.weights.min().max(MIN_WEIGHT)).ceil() as usize;
        // Within this number of turns the deficit counter of at least one tenant reaches the cost of a
        // request; `+ 2` allows for rounding.
        let max_turns = self.tenant_ring.len() * rounds_per_tenant + 2;
        for _ in 0..max_turns {
            let &tenant = self.tenant_ring.front()?;
            if self.begin_turn(tenant) {
                return Some(self.pop_from(tenant));
            }
            self.tenant_ring.rotate_left(1);
        }
        None
    }

    /// Adds the tenant's quantum to its deficit counter if the counter is below the cost of a request.
    /// Returns whether the counter now covers a request.
    fn begin_turn(&mut self, tenant: TenantId) -> bool {
        let weight = self.weights.of(tenant);
        let queue = self.tenants.get_mut(&tenant).expect("a tenant in the ring has a queue");
        if queue.deficit < REQUEST_COST {
            queue.deficit += weight;
        }
        queue.deficit >= REQUEST_COST
    }

    /// Removes and returns the next request of `tenant`, which is at the front of the ring. Rotates the ring
    /// to the next tenant if the deficit counter does not cover another request.
    fn pop_from(&mut self, tenant: TenantId) -> RequestId {
        let tenant_queue = self.tenants.get_mut(&tenant).expect("a tenant in the ring has a queue");
        let client = tenant_queue.client_ring.pop_front().expect("a tenant in the ring has clients");
        let queues = self.clients.get_mut(&client).expect("a client in a ring has queues");
        let queue = queues.at_mut(tenant).expect("a client in a tenant's ring has a queue there");
        let id = queue.requests.pop_front().expect("a client in a ring has requests");
        tenant_queue.deficit -= REQUEST_COST;
        tenant_queue.queued_count -= 1;
        if !queue.requests.is_empty() {
            tenant_queue.client_ring.push_back(client);
        } else if queues.drop_empty() {
            self.clients.remove(&client);
        }
        if tenant_queue.client_ring.is_empty() {
            self.tenants.remove(&tenant);
            self.tenant_ring.pop_front();
        } else if tenant_queue.deficit < REQUEST_COST {
            self.tenant_ring.rotate_left(1);
        }
        id
    }

    /// Removes a queued request at any position, because its client disconnected or it expired. Does nothing if
    /// it is not queued.
    pub fn remove(&mut self, client: ClientKey, tenant: TenantId, id: RequestId) {
        let Some(queues) = self.clients.get_mut(&client) else { return };
        let Some(queue) = queues.at_mut(tenant) else { return };
        let Some(position) = queue.requests.iter().position(|other_id| *other_id == id) else { return };
        queue.requests.remove(position);
        let is_last_of_client = queue.requests.is_empty();
        if is_last_of_client && queues.drop_empty() {
            self.clients.remove(&client);
        }
        self.remove_from_tenant(tenant, client, is_last_of_client);
    }

    /// Counts a request less for `tenant`, and removes from the rings what has no queued request any more.
    fn remove_from_tenant(&mut self, tenant: TenantId, client: ClientKey, is_last_of_client: bool) {
        let Some(tenant_queue) = self.tenants.get_mut(&tenant) else { return };
        tenant_queue.queued_count -= 1;
        if is_last_of_client {
            tenant_queue.client_ring.retain(|other_client| *other_client != client);
        }
        if tenant_queue.client_ring.is_empty() {
            self.tenants.remove(&tenant);
            self.tenant_ring.retain(|other_tenant| *other_tenant != tenant);
        }
    }

    /// An estimate of the heap memory in use, in bytes.
    pub fn heap_bytes(&self) -> usize {
        let client_queues: usize = self.clients.values().map(ClientQueues::heap_bytes).sum();
        let tenant_clients: usize = self.tenants.values().map(|queue| queue.client_ring.capacity()).sum();
        self.clients.capacity() * (size_of::<(ClientKey, ClientQueues)>() + 1)
            + client_queues
            + self.tenants.capacity() * (size_of::<(TenantId, TenantQueue)>() + 1)
            + tenant_clients * size_of::<ClientKey>()
            + self.tenant_ring.capacity() * size_of::<TenantId>()
    }
}

#[cfg(test)]
mod tests;
