//! Store of running calls and of the responses of completed ones. No I/O; the caller passes the time in Unix
//! milliseconds.
//!
//! A call is identified by its session and its call id. The first request starts it. A retry, for example
//! after a lost connection, attaches to the running call or gets the stored response, so retries of a write
//! do not execute it again. A write that was rejected although it may have run is started again only while
//! endpoints drop repeats by its idempotency key. A read without clients is cancelled after a delay; a write
//! always runs to completion. The store is bounded by the number of calls, the number of calls per session and the memory.

use crate::state::requests::FinalResponse;
use crate::wire::front::SessionId;
use std::collections::{BTreeSet, HashMap};

/// Memory accounted for a call without its response body, in bytes.
pub const CALL_BYTES: usize = 320;

/// Identifies a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallKey {
    /// Session of the client.
    pub session: SessionId,
    /// Call id, unique within the session.
    pub call: u64,
}

impl CallKey {
    const MIN: Self = Self { session: 0, call: 0 };
}

/// Limits of the store.
#[derive(Clone, Copy, Debug)]
pub struct StoreLimits {
    /// Maximum number of running and completed calls.
    pub max_calls: usize,
    /// Maximum number of calls of one session.
    pub max_calls_per_session: usize,
    /// Maximum memory of calls and responses, in bytes.
    pub max_bytes: usize,
    /// Delay before a running read without clients is cancelled, in milliseconds.
    pub cancel_after_ms: f64,
    /// Retention time of a read's response, in milliseconds.
    pub keep_read_ms: f64,
    /// Retention time of a write's response, in milliseconds.
    pub keep_write_ms: f64,
}

/// The result of attaching a client to a call.
#[derive(Clone, Debug, PartialEq)]
pub enum AttachOutcome {
    /// The call is new: the caller must start it.
    Started,
    /// The call was rejected and may have run: the caller must start it again, with this time limit on its
    /// attempts, in Unix milliseconds.
    Restarted {
        /// See [`crate::state::requests::IncomingRequest::repeatable_until_ms`].
        repeatable_until_ms: f64,
    },
    /// The call is already running.
    Running,
    /// The call has completed with this response.
    Completed(FinalResponse),
    /// The call id is in use for a different request.
    Conflict,
    /// A limit of the store or of the session is reached. The call was not started.
    Full,
}

/// A time in milliseconds with a total order, for use in sorted sets. Negative times are stored as 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct OrderedMs(u64);

impl OrderedMs {
    const MIN: Self = Self(0);

    /// Converts a time. The bit patterns of non-negative floats have the same order as the floats.
    fn new(ms: f64) -> Self {
        Self(ms.max(0.0).to_bits())
    }

    fn ms(self) -> f64 {
        f64::from_bits(self.0)
    }
}

/// A completed call in eviction order: reads before writes, then by expiry time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct CompletedEntry {
    is_write: bool,
    expires_at: OrderedMs,
    key: CallKey,
}

/// A running read without clients, ordered by the time at which it is cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct DetachedEntry {
    cancel_at: OrderedMs,
    key: CallKey,
}

#[derive(Clone, Debug)]
enum CallState {
    Running {
        clients: u32,
        /// When the call last lost its last client; infinity if it never did.
        detached_ms: f64,
    },
    Completed {
        response: FinalResponse,
        expires_ms: f64,
        body_bytes: usize,
        /// Whether the call was rejected, so that it is started again while that has no second effect.
        rejected: bool,
    },
}

#[derive(Clone, Debug)]
struct Call {
    /// Hash of the request, to detect a different request with the same call id.
    digest: u64,
    is_write: bool,
    /// Time from which it must not be started again, in Unix milliseconds, if it may have run and was rejected.
    repeatable_until_ms: Option<f64>,
    state: CallState,
}

/// Counters of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreMetrics {
    /// Calls started.
    pub started: u64,
    /// Clients attached to a running call.
    pub attached: u64,
    /// Clients that got the stored response of a completed call.
    pub replayed: u64,
    /// Clients rejected because their call id is in use for a different request.
    pub conflicts: u64,
    /// Clients rejected because a limit of the store or of their session was reached.
    pub rejected_full: u64,
    /// Number of times that a running call lost its last client.
    pub detached: u64,
    /// Reads cancelled by their client, or after running without clients for
    /// [`StoreLimits::cancel_after_ms`].
    pub cancelled: u64,
    /// Responses of reads evicted before they expired.
    pub evicted_reads: u64,
    /// Responses of writes evicted before they expired.
    pub evicted_writes: u64,
}

/// The store of running calls and stored responses.
#[derive(Debug)]
pub struct ResponseStore {
    limits: StoreLimits,
    calls: HashMap<CallKey, Call>,
    calls_of_session: HashMap<SessionId, usize>,
    completed: BTreeSet<CompletedEntry>,
    detached_reads: BTreeSet<DetachedEntry>,
    bytes: usize,
    metrics: StoreMetrics,
}

impl ResponseStore {
    /// Creates an empty store.
    pub fn new(limits: StoreLimits) -> Self {
        Self {
            limits,
            calls: HashMap::new(),
            calls_of_session: HashMap::new(),
            completed: BTreeSet::new(),
            detached_reads: BTreeSet::new(),
            bytes: 0,
            metrics: StoreMetrics::default(),
        }
    }

    /// The counters.
    pub fn metrics(&self) -> StoreMetrics {
        self.metrics
    }

    /// Attaches a client to the call `key`, which is added if it is new. `digest` is the hash of the request.
    pub fn attach(&mut self, now: f64, key: CallKey, digest: u64, is_write: bool) -> AttachOutcome {
        self.remove_expired(now);
        if self.calls.contains_key(&key) {
            return self.attach_to_existing(now, key, digest, is_write);
        }
        let session_calls = self.calls_of_session.get(&key.session).copied().unwrap_or(0);
        let session_has_room = session_calls < self.limits.max_calls_per_session
            || self.evict(|entry| entry.key.session == key.session);
        if !session_has_room || !self.make_room(1, CALL_BYTES) {
            self.metrics.rejected_full += 1;
            return AttachOutcome::Full;
        }
        self.metrics.started += 1;
        let state = CallState::Running { clients: 1, detached_ms: f64::INFINITY };
        self.calls.insert(key, Call { digest, is_write, repeatable_until_ms: None, state });
        *self.calls_of_session.entry(key.session).or_default() += 1;
        self.bytes += CALL_BYTES;
        AttachOutcome::Started
    }

    fn attach_to_existing(&mut self, now: f64, key: CallKey, digest: u64, is_write: bool) -> AttachOutcome {
        let Some(call) =
            self.calls.get_mut(&key).filter(|call| call.digest == digest && call.is_write == is_write)
        else {
            self.metrics.conflicts += 1;
            return AttachOutcome::Conflict;
        };
        let repeatable_until_ms = call.repeatable_until_ms.filter(|until_ms| now < *until_ms);
        match (&mut call.state, repeatable_until_ms) {
            (CallState::Running { clients, detached_ms }, _) => {
                let cancel_at = OrderedMs::new(*detached_ms + self.limits.cancel_after_ms);
                self.detached_reads.remove(&DetachedEntry { cancel_at, key });
                *clients += 1;
                self.metrics.attached += 1;
                AttachOutcome::Running
            }
            (CallState::Completed { rejected: true, expires_ms, .. }, Some(repeatable_until_ms)) => {
                let expires_at = OrderedMs::new(*expires_ms);
                self.completed.remove(&CompletedEntry { is_write, expires_at, key });
                call.state = CallState::Running { clients: 1, detached_ms: f64::INFINITY };
                self.metrics.started += 1;
                AttachOutcome::Restarted { repeatable_until_ms }
            }
            (CallState::Completed { response, .. }, _) => {
                self.metrics.replayed += 1;
                AttachOutcome::Completed(response.clone())
            }
        }
    }

    /// Completes a running call. Stores its response, unless a retry may start the call again.
    pub fn complete(&mut self, now: f64, key: CallKey, response: &FinalResponse) {
        let Some(call) = self.calls.get_mut(&key) else { return };
        let CallState::Running { detached_ms, .. } = call.state else { return };
        let is_write = call.is_write;
        let rejected = matches!(response, FinalResponse::Rejected { .. });
        if let FinalResponse::Rejected { repeatable_until_ms: Some(until_ms), .. } = response {
            let until_ms = call.repeatable_until_ms.map_or(*until_ms, |earlier_ms| earlier_ms.min(*until_ms));
            call.repeatable_until_ms = Some(until_ms);
        }
        let may_have_run = !rejected || call.repeatable_until_ms.is_some();
        let cancel_at = OrderedMs::new(detached_ms + self.limits.cancel_after_ms);
        self.detached_reads.remove(&DetachedEntry { cancel_at, key });
        let retention_ms = self.retention_ms(is_write, response);
        if retention_ms <= 0.0 || !may_have_run {
            return self.remove(key);
        }
        let body_bytes = match response {
            FinalResponse::Served { body, .. } => body.len(),
            _ => 0,
        };
        let fits = body_bytes + CALL_BYTES <= self.limits.max_bytes && self.make_room(0, body_bytes);
        let (response, body_bytes) = match (fits && !rejected, is_write) {
            (true, _) => (response.clone(), body_bytes),
            // The write may have been executed, so a failure is stored: a retry must not execute it again.
            (false, true) => (FinalResponse::Failed { overdue: false }, 0),
            (false, false) => return self.remove(key),
        };
        let expires_ms = now + retention_ms;
        self.bytes += body_bytes;
        self.completed.insert(CompletedEntry { is_write, expires_at: OrderedMs::new(expires_ms), key });
        if let Some(call) = self.calls.get_mut(&key) {
            call.state = CallState::Completed { response, expires_ms, body_bytes, rejected };
        }
    }

    /// Retention time of a response, in milliseconds; 0 if it is not stored.
    fn retention_ms(&self, is_write: bool, response: &FinalResponse) -> f64 {
        match response {
            FinalResponse::Rejected { .. } | FinalResponse::Failed { .. } if !is_write => 0.0,
            _ if is_write => self.limits.keep_write_ms,
            _ => self.limits.keep_read_ms,
        }
    }

    /// Ends a call that the engine did not accept, as a rejection: it was not executed.
    pub fn discard(&mut self, now: f64, key: CallKey) {
        self.complete(now, key, &FinalResponse::not_run(0.0));
    }

    /// Detaches a client whose connection was lost. It can attach again.
    pub fn detach(&mut self, now: f64, key: CallKey) {
        let Some(call) = self.calls.get_mut(&key) else { return };
        let CallState::Running { clients, detached_ms } = &mut call.state else { return };
        *clients = clients.saturating_sub(1);
        if *clients > 0 {
            return;
        }
        self.metrics.detached += 1;
        *detached_ms = now;
        if !call.is_write {
            let cancel_at = OrderedMs::new(now + self.limits.cancel_after_ms);
            self.detached_reads.insert(DetachedEntry { cancel_at, key });
        }
    }

    /// Detaches a client that no longer wants the response. Returns whether the caller must cancel the call.
    ///
    /// A write is never cancelled: it may have been executed already, and a retry must not execute it again.
    pub fn cancel(&mut self, now: f64, key: CallKey) -> bool {
        self.detach(now, key);
        let Some(call) = self.calls.get(&key) else { return false };
        let has_no_clients = matches!(call.state, CallState::Running { clients: 0, .. });
        if call.is_write || !has_no_clients {
            return false;
        }
        self.metrics.cancelled += 1;
        self.remove(key);
        true
    }

    /// Removes responses that have expired by `now`, and reads that have been without clients for
    /// [`StoreLimits::cancel_after_ms`]. Returns these reads, which the caller must cancel.
    pub fn tick(&mut self, now: f64) -> Vec<CallKey> {
        self.remove_expired(now);
        let mut cancelled = Vec::new();
        while let Some(entry) = self.detached_reads.first().copied().filter(|e| e.cancel_at.ms() <= now) {
            self.detached_reads.remove(&entry);
            self.remove(entry.key);
            self.metrics.cancelled += 1;
            cancelled.push(entry.key);
        }
        cancelled
    }

    /// When [`Self::tick`] must be called next; infinity if nothing is pending.
    pub fn next_due_ms(&self) -> f64 {
        let expiries = [false, true].into_iter().filter_map(|is_write| self.first_completed(is_write));
        let expiries = expiries.map(|entry| entry.expires_at.ms());
        let cancellation = self.detached_reads.first().map(|entry| entry.cancel_at.ms());
        expiries.chain(cancellation).fold(f64::INFINITY, f64::min)
    }

    /// Number of calls.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Whether the store holds no calls.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Memory of all calls and responses, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// The completed read or write that expires first.
    fn first_completed(&self, is_write: bool) -> Option<CompletedEntry> {
        let from = CompletedEntry { is_write, expires_at: OrderedMs::MIN, key: CallKey::MIN };
        self.completed.range(from..).next().copied().filter(|entry| entry.is_write == is_write)
    }

    fn remove_expired(&mut self, now: f64) {
        for is_write in [false, true] {
            while let Some(entry) =
                self.first_completed(is_write).filter(|entry| entry.expires_at.ms() <= now)
            {
                self.remove(entry.key);
            }
        }
    }

    /// Evicts responses, in eviction order, until the given calls and bytes fit. Returns whether they fit.
    fn make_room(&mut self, calls: usize, bytes: usize) -> bool {
        while self.calls.len() + calls > self.limits.max_calls || self.bytes + bytes > self.limits.max_bytes {
            if !self.evict(|_| true) {
                return false;
            }
        }
        true
    }

    /// Evicts the first response, in eviction order, that satisfies `is_candidate`. Returns whether there was
    /// one.
    fn evict(&mut self, is_candidate: impl Fn(&CompletedEntry) -> bool) -> bool {
        let Some(entry) = self.completed.iter().find(|entry| is_candidate(entry)).copied() else {
            return false;
        };
        if entry.is_write {
            self.metrics.evicted_writes += 1;
        } else {
            self.metrics.evicted_reads += 1;
        }
        self.remove(entry.key);
        true
    }

    fn remove(&mut self, key: CallKey) {
        let Some(Call { is_write, state, .. }) = self.calls.remove(&key) else { return };
        self.bytes -= CALL_BYTES;
        match state {
            CallState::Completed { expires_ms, body_bytes, .. } => {
                self.bytes -= body_bytes;
                self.completed.remove(&CompletedEntry {
                    is_write,
                    expires_at: OrderedMs::new(expires_ms),
                    key,
                });
            }
            CallState::Running { detached_ms, .. } => {
                let cancel_at = OrderedMs::new(detached_ms + self.limits.cancel_after_ms);
                self.detached_reads.remove(&DetachedEntry { cancel_at, key });
            }
        }
        if let Some(count) = self.calls_of_session.get_mut(&key.session) {
            *count -= 1;
            if *count == 0 {
                self.calls_of_session.remove(&key.session);
            }
        }
    }
}

#[cfg(test)]
mod tests;
