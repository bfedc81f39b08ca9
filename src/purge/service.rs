//! The fleet-purge service of a proxy: the calls at the admin address, and the task that sends the leader's
//! batches. [`super::leader`] and [`super::fanout`] decide which batches to send and when, and handle the
//! answers.

use super::age_limit::AgeLimiter;
use super::config::{PurgeConfig, Target};
use super::follower::ReceiveError;
use super::leader::{OutgoingBatch, SendError, SubmitError};
use super::log::LogError;
use super::metrics::PurgeStatus;
use super::replica::Replica;
use super::wire::{from_json, to_json, Acknowledgement, Batch, ErrorBody, SubmitRequest};
use crate::clock::duration_from_ms;
use crate::engine::executor::Executor;
use crate::http_client::call;
use crate::wire::http::{HttpRequest, HttpResponse};
use serde::Serialize;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::sync::{Notify, Semaphore};

/// Interval at which the targets are updated from the endpoint list, in milliseconds.
const TARGET_REFRESH_MS: f64 = 1_000.0;
/// Interval at which the log is checked for purges of another process of this proxy, in milliseconds. They must
/// be in force here within 500 ms of their issue.
const LOG_CHECK_INTERVAL_MS: f64 = 100.0;
/// Interval at which deferred log records are flushed to disk, in milliseconds.
const SYNC_INTERVAL_MS: f64 = 1_000.0;
/// Maximum number of concurrent calls to targets; limits the file descriptors in use. Further calls wait for
/// a permit.
pub const MAX_CONCURRENT_CALLS: usize = 64;
/// Maximum number of purges in an answer to `GET /purges/log`.
const MAX_LIST_LENGTH: usize = 1_000;

/// The fleet-purge service of one proxy.
pub struct PurgeService {
    executor: Rc<Executor>,
    /// Shared with the engine, which uses it as its purge filter.
    limiter: Rc<RefCell<AgeLimiter>>,
    replica: RefCell<Replica>,
    config: PurgeConfig,
    /// Whether the last check of the log failed; only the first of several failures is logged.
    log_check_failed: Cell<bool>,
    /// Wakes the sending task when a purge was issued or a target answered.
    wake: Notify,
    /// Permits for calls to targets, [`MAX_CONCURRENT_CALLS`] in all.
    call_permits: Semaphore,
}

impl PurgeService {
    /// Recovers the replica from its log and sets the engine's purge filter. Must precede the first request.
    pub fn open(executor: &Rc<Executor>, config: PurgeConfig, seed: u64) -> Result<Rc<Self>, LogError> {
        let now_ms = executor.clock.now();
        let mut limiter = AgeLimiter::new(config.retention_limits(), config.max_tagged_objects);
        let replica = Replica::open(&config, &mut limiter.active, now_ms, seed)?;
        let limiter = Rc::new(RefCell::new(limiter));
        executor.with(|engine| engine.set_purge_filter(limiter.clone()));
        Ok(Rc::new(Self {
            executor: executor.clone(),
            limiter,
            replica: RefCell::new(replica),
            config,
            log_check_failed: Cell::new(false),
            wake: Notify::new(),
            call_permits: Semaphore::new(MAX_CONCURRENT_CALLS),
        }))
    }

    fn with_replica<T>(&self, f: impl FnOnce(&mut Replica, &mut AgeLimiter) -> T) -> T {
        f(&mut self.replica.borrow_mut(), &mut self.limiter.borrow_mut())
    }

    /// Sends due batches (leader only), and periodically reads the log and flushes it to disk. Never returns.
    pub async fn run(self: Rc<Self>) {
        let is_leader = self.replica.borrow_mut().leader_mut().is_some();
        let mut next_refresh_ms = if is_leader { f64::NEG_INFINITY } else { f64::INFINITY };
        let mut next_sync_ms = self.executor.clock.now() + SYNC_INTERVAL_MS;
        let mut next_log_check_ms = f64::NEG_INFINITY;
        loop {
            let now_ms = self.executor.clock.now();
            if now_ms >= next_refresh_ms {
                self.refresh_targets(now_ms);
                next_refresh_ms = now_ms + TARGET_REFRESH_MS;
            }
            if now_ms >= next_log_check_ms {
                self.catch_up(now_ms);
                next_log_check_ms = now_ms + LOG_CHECK_INTERVAL_MS;
            }
            let due = self.replica.borrow_mut().leader_mut().map(|leader| leader.take_due_batches(now_ms));
            for batch in due.into_iter().flatten() {
                tokio::task::spawn_local(self.clone().send(batch));
            }
            if now_ms >= next_sync_ms {
                self.sync_log();
                next_sync_ms = now_ms + SYNC_INTERVAL_MS;
            }
            let next_due_ms = self.replica.borrow_mut().leader_mut().and_then(|leader| leader.next_due_ms());
            let next_periodic_ms = next_sync_ms.min(next_refresh_ms).min(next_log_check_ms);
            let wake_at_ms = next_due_ms.unwrap_or(f64::INFINITY).min(next_periodic_ms);
            tokio::select! {
                () = tokio::time::sleep(duration_from_ms(wake_at_ms - now_ms)) => {}
                () = self.wake.notified() => {}
            }
        }
    }

    /// Updates the leader's targets from the endpoint list.
    fn refresh_targets(&self, now_ms: f64) {
        let port = self.config.endpoint_port;
        let servers = port.map(|port| self.executor.with(|engine| engine.cache_servers(port)));
        let targets = servers.into_iter().flatten().map(Target::from).collect();
        if let Some(leader) = self.replica.borrow_mut().leader_mut() {
            leader.set_listed_targets(now_ms, targets);
        }
    }

    /// Applies the purges that another process of this proxy has logged.
    fn catch_up(&self, now_ms: f64) {
        let result = self.with_replica(|replica, limiter| replica.catch_up(&mut limiter.active, now_ms));
        let has_failed = result.is_err();
        let failed_before = self.log_check_failed.replace(has_failed);
        if let Some(error) = result.err().filter(|_| !failed_before) {
            tracing::error!(%error, "purges: the log can't be checked for purges of another process; retrying");
        }
    }

    fn sync_log(&self) {
        if let Err(error) = self.replica.borrow_mut().sync() {
            tracing::error!(%error, "purges: the log can't be flushed to disk");
        }
    }

    /// Sends a batch to its target and records the answer.
    async fn send(self: Rc<Self>, outgoing: OutgoingBatch) {
        let result = self.call_target(&outgoing).await;
        let now_ms = self.executor.clock.now();
        let target = outgoing.target.as_str();
        let recorded = self.with_replica(|replica, limiter| {
            let Some(leader) = replica.leader_mut() else { return Ok(()) };
            match result {
                Ok(ack) => leader.acknowledge(target, outgoing.id, ack.applied, &mut limiter.active, now_ms),
                Err(error) => {
                    leader.record_failure(target, outgoing.id, now_ms, &error);
                    Ok(())
                }
            }
        });
        if let Err(error) = recorded {
            tracing::error!(%error, target, "purges: the log can't be updated after an acknowledgement");
        }
        self.wake.notify_one();
    }

    async fn call_target(&self, outgoing: &OutgoingBatch) -> Result<Acknowledgement, SendError> {
        let body = to_json(&outgoing.batch);
        let timeout = duration_from_ms(self.config.timeout_ms);
        let permit = self.call_permits.acquire().await;
        let response = call(outgoing.address, "POST", "/purges/apply", &body, timeout).await?;
        drop(permit);
        match response.status {
            200 => Ok(from_json(&response.body)?),
            status => Err(SendError::Status(status)),
        }
    }

    /// Answers a fleet-purge call at the admin address; `None` for any other path.
    pub fn answer(&self, request: &HttpRequest) -> Option<HttpResponse> {
        let (path, query) = request.target.split_once('?').unwrap_or((&request.target, ""));
        let method = request.method.as_str();
        Some(match (path, method) {
            ("/purges", "POST") => self.submit(&request.body),
            ("/purges", "GET") => self.status(),
            ("/purges/log", "GET") => self.list(query),
            ("/purges/apply", "POST") => self.receive(&request.body),
            ("/purges", _) => HttpResponse::status(405).with_header("Allow", "GET, POST"),
            ("/purges/log", _) => HttpResponse::status(405).with_header("Allow", "GET"),
            ("/purges/apply", _) => HttpResponse::status(405).with_header("Allow", "POST"),
            _ => return None,
        })
    }

    fn submit(&self, body: &[u8]) -> HttpResponse {
        let request: SubmitRequest = match from_json(body) {
            Ok(request) => request,
            Err(error) => return error_response(400, error),
        };
        let now_ms = self.executor.clock.now();
        let issued = self
            .with_replica(|replica, limiter| replica.submit(request.selector, &mut limiter.active, now_ms));
        match issued {
            Ok(submitted) => {
                self.wake.notify_one();
                json_response(200, &submitted)
            }
            Err(error @ SubmitError::NotLeader) => error_response(409, error),
            Err(error @ SubmitError::Log(_)) => {
                tracing::error!(%error, "purges: submitting a purge failed");
                error_response(500, error)
            }
        }
    }

    fn receive(&self, body: &[u8]) -> HttpResponse {
        let batch: Batch = match from_json(body) {
            Ok(batch) => batch,
            Err(error) => return error_response(400, error),
        };
        let now_ms = self.executor.clock.now();
        let received =
            self.with_replica(|replica, limiter| replica.receive(&batch, &mut limiter.active, now_ms));
        match received {
            Ok(applied) => json_response(200, &Acknowledgement { applied }),
            Err(error @ (ReceiveError::NotFollower | ReceiveError::NotContiguous)) => {
                error_response(409, error)
            }
            Err(error @ ReceiveError::Log(_)) => {
                tracing::error!(%error, "purges: a batch was not applied completely");
                error_response(500, error)
            }
        }
    }

    fn list(&self, query: &str) -> HttpResponse {
        let from = query_number(query, "from").unwrap_or(1);
        let max =
            query_number(query, "most").map_or(MAX_LIST_LENGTH, |max| (max as usize).min(MAX_LIST_LENGTH));
        json_response(200, &self.with_replica(|replica, limiter| replica.list(&limiter.active, from, max)))
    }

    fn status(&self) -> HttpResponse {
        let status = self.with_replica(|replica, limiter| PurgeStatus {
            replica: replica.status(&limiter.active),
            age_limits: limiter.metrics,
            tagged_objects: limiter.tagged_objects(),
        });
        json_response(200, &status)
    }
}

fn json_response<T: Serialize>(status: u16, body: &T) -> HttpResponse {
    let response = HttpResponse { body: to_json(body).into(), ..HttpResponse::status(status) };
    response.with_header("Content-Type", "application/json")
}

fn error_response(status: u16, error: impl ToString) -> HttpResponse {
    json_response(status, &ErrorBody { error: error.to_string() })
}

/// Parses a numeric parameter of a query such as `from=3&most=10`.
fn query_number(query: &str, name: &str) -> Option<u64> {
    query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
}
