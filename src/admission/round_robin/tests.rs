//! A model test: random operations on [`RoundRobin`] and on a reference of plain lists give the same results.

use super::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// A tenant of the reference, with its clients and their requests in round-robin order.
struct ReferenceTenant {
    tenant: TenantId,
    deficit: f64,
    clients: Vec<(ClientKey, Vec<RequestId>)>,
}

/// Deficit round robin on plain lists, without any index.
struct Reference {
    weights: Weights,
    /// The tenants in round-robin order.
    tenants: Vec<ReferenceTenant>,
}

impl Reference {
    fn push(&mut self, client: ClientKey, tenant: TenantId, id: RequestId) {
        let position = self.tenants.iter().position(|other| other.tenant == tenant).unwrap_or_else(|| {
            self.tenants.push(ReferenceTenant { tenant, deficit: 0.0, clients: Vec::new() });
            self.tenants.len() - 1
        });
        let clients = &mut self.tenants[position].clients;
        match clients.iter_mut().find(|(other, _)| *other == client) {
            Some((_, requests)) => requests.push(id),
            None => clients.push((client, vec![id])),
        }
    }

    fn pop(&mut self) -> Option<RequestId> {
        while !self.tenants.is_empty() {
            let weight = self.weights.of(self.tenants[0].tenant);
            let first = &mut self.tenants[0];
            if first.deficit < REQUEST_COST {
                first.deficit += weight;
            }
            if first.deficit < REQUEST_COST {
                self.tenants.rotate_left(1);
                continue;
            }
            first.deficit -= REQUEST_COST;
            let (client, mut requests) = first.clients.remove(0);
            let id = requests.remove(0);
            if !requests.is_empty() {
                first.clients.push((client, requests));
            }
            if first.clients.is_empty() {
                self.tenants.remove(0);
            } else if first.deficit < REQUEST_COST {
                self.tenants.rotate_left(1);
            }
            return Some(id);
        }
        None
    }

    fn remove(&mut self, id: RequestId) {
        for tenant in &mut self.tenants {
            tenant.clients.iter_mut().for_each(|(_, requests)| requests.retain(|other| *other != id));
            tenant.clients.retain(|(_, requests)| !requests.is_empty());
        }
        self.tenants.retain(|tenant| !tenant.clients.is_empty());
    }

    fn set_weights(&mut self, weights: Weights) {
        self.weights = weights;
        self.tenants.iter_mut().for_each(|tenant| tenant.deficit = tenant.deficit.min(REQUEST_COST));
    }

    fn client_depth(&self, client: ClientKey) -> usize {
        let clients = self.tenants.iter().flat_map(|tenant| &tenant.clients);
        clients.filter(|(other, _)| *other == client).map(|(_, requests)| requests.len()).sum()
    }

    fn tenant_depth(&self, tenant: TenantId) -> usize {
        let tenants = self.tenants.iter().filter(|other| other.tenant == tenant);
        tenants.flat_map(|tenant| &tenant.clients).map(|(_, requests)| requests.len()).sum()
    }

    fn clients_of(&self, tenant: TenantId) -> usize {
        self.tenants.iter().find(|other| other.tenant == tenant).map_or(0, |tenant| tenant.clients.len())
    }

    fn has_queue(&self, client: ClientKey, tenant: TenantId) -> bool {
        let tenants = self.tenants.iter().filter(|other| other.tenant == tenant);
        tenants.flat_map(|tenant| &tenant.clients).any(|(other, _)| *other == client)
    }
}

/// An operation. Requests are chosen by position among the queued ones.
#[derive(Clone, Debug)]
enum Operation {
    Push { client: ClientKey, tenant: TenantId },
    Pop,
    Remove { position: usize },
    SetWeights { first_tenant: f64, default: f64 },
}

const CLIENTS: u128 = 4;
const TENANTS: u32 = 3;

fn operation() -> impl Strategy<Value = Operation> {
    prop_oneof![
        4 => (0..CLIENTS, 0..TENANTS).prop_map(|(client, tenant)| Operation::Push { client, tenant }),
        2 => Just(Operation::Pop),
        2 => any::<usize>().prop_map(|position| Operation::Remove { position }),
        1 => (0.01..4.0, 0.01..4.0)
            .prop_map(|(first_tenant, default)| Operation::SetWeights { first_tenant, default }),
    ]
}

fn weights(first_tenant: f64, default: f64) -> Weights {
    Weights { default, by_tenant: AHashMap::from_iter([(0, first_tenant)]) }
}

/// Compares all that [`RoundRobin`] tells with the reference.
fn assert_same(round_robin: &RoundRobin, reference: &Reference) {
    for client in 0..CLIENTS {
        assert_eq!(round_robin.client_depth(client), reference.client_depth(client), "client {client}");
        for tenant in 0..TENANTS {
            let joins = usize::from(!reference.has_queue(client, tenant));
            let clients = round_robin.expected_share(client, tenant).clients;
            assert_eq!(clients, reference.clients_of(tenant) + joins, "client {client} of tenant {tenant}");
        }
    }
    for tenant in 0..TENANTS {
        assert_eq!(round_robin.tenant_depth(tenant), reference.tenant_depth(tenant), "tenant {tenant}");
    }
    let queued: usize = round_robin.queued_by_tenant().map(|(_, count)| count).sum();
    assert_eq!(queued, (0..TENANTS).map(|tenant| reference.tenant_depth(tenant)).sum::<usize>());
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    /// Guards against a client with requests of several tenants that remains in the ring of a tenant without a
    /// request there: the next release panicked, and requests got no response.
    #[test]
    fn requests_of_several_tenants_are_released_like_those_of_a_plain_reference(
        operations in prop::collection::vec(operation(), 0..200),
    ) {
        let mut round_robin = RoundRobin::new(weights(1.0, 1.0));
        let mut reference = Reference { weights: weights(1.0, 1.0), tenants: Vec::new() };
        let mut queued: Vec<(ClientKey, TenantId, RequestId)> = Vec::new();
        for (id, operation) in (0..).zip(operations) {
            match operation {
                Operation::Push { client, tenant } => {
                    round_robin.push(client, tenant, id);
                    reference.push(client, tenant, id);
                    queued.push((client, tenant, id));
                }
                Operation::Pop => {
                    let released = round_robin.pop();
                    prop_assert_eq!(released, reference.pop());
                    queued.retain(|(_, _, id)| Some(*id) != released);
                }
                Operation::Remove { position } if !queued.is_empty() => {
                    let (client, tenant, id) = queued.remove(position % queued.len());
                    round_robin.remove(client, tenant, id);
                    reference.remove(id);
                }
                Operation::Remove { .. } => {}
                Operation::SetWeights { first_tenant, default } => {
                    round_robin.set_weights(weights(first_tenant, default));
                    reference.set_weights(weights(first_tenant, default));
                }
            }
            assert_same(&round_robin, &reference);
        }
        // All that is left is released, in the same order.
        while let Some(id) = reference.pop() {
            prop_assert_eq!(round_robin.pop(), Some(id));
            assert_same(&round_robin, &reference);
        }
        prop_assert_eq!(round_robin.pop(), None);
    }
}

impl RoundRobin {
    /// Puts a tenant without a queue into the ring, as faulty bookkeeping would: the next release panics.
    pub(in crate::admission) fn corrupt(&mut self) {
        self.tenant_ring.push_front(TenantId::MAX);
    }
}
