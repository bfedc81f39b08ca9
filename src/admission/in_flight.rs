//! The admitted requests in flight, with their counts by client and in the share of light clients.

use super::decision::ClientKey;
use crate::RequestId;
use ahash::AHashMap;
use std::mem::size_of;

/// An admitted request.
#[derive(Clone, Copy, Debug)]
pub struct InFlight {
    /// When it was admitted, in Unix milliseconds.
    pub admitted_at_ms: f64,
    /// The client that sent it.
    pub client: ClientKey,
    /// Whether it was admitted into the share of light clients.
    pub in_light_share: bool,
}

/// The admitted requests in flight. The counts are derived from the requests.
#[derive(Debug, Default)]
pub struct InFlightRequests {
    requests: AHashMap<RequestId, InFlight>,
    count_by_client: AHashMap<ClientKey, u32>,
    /// The number of requests in the share of light clients.
    light: usize,
}

impl InFlightRequests {
    /// The number of requests.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether no request is in flight.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// The number of requests in the share of light clients.
    pub fn light(&self) -> usize {
        self.light
    }

    /// Whether a request is in flight.
    pub fn contains(&self, id: RequestId) -> bool {
        self.requests.contains_key(&id)
    }

    /// The number of requests of a client.
    pub fn count_of(&self, client: ClientKey) -> u32 {
        self.count_by_client.get(&client).copied().unwrap_or(0)
    }

    /// The number of clients with requests in flight.
    pub fn clients(&self) -> usize {
        self.count_by_client.len()
    }

    /// The requests by id.
    pub fn iter(&self) -> impl Iterator<Item = (RequestId, &InFlight)> {
        self.requests.iter().map(|(id, request)| (*id, request))
    }

    /// Adds a request.
    pub fn insert(&mut self, id: RequestId, request: InFlight) {
        self.requests.insert(id, request);
        self.count(&request);
    }

    fn count(&mut self, request: &InFlight) {
        *self.count_by_client.entry(request.client).or_default() += 1;
        self.light += usize::from(request.in_light_share);
    }

    /// Removes a request that has ended.
    pub fn remove(&mut self, id: RequestId) -> Option<InFlight> {
        let request = self.requests.remove(&id)?;
        self.light -= usize::from(request.in_light_share);
        if let Some(count) = self.count_by_client.get_mut(&request.client) {
            *count -= 1;
            if *count == 0 {
                self.count_by_client.remove(&request.client);
            }
        }
        Some(request)
    }

    /// Counts all requests anew.
    pub fn rebuild_counts(&mut self) {
        self.count_by_client.clear();
        self.light = 0;
        let requests: Vec<InFlight> = self.requests.values().copied().collect();
        requests.iter().for_each(|request| self.count(request));
    }

    /// An estimate of the heap memory in use, in bytes.
    pub fn heap_bytes(&self) -> usize {
        self.requests.capacity() * (size_of::<(RequestId, InFlight)>() + 1)
            + self.count_by_client.capacity() * (size_of::<(ClientKey, u32)>() + 1)
    }
}
