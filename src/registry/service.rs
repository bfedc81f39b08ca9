//! The task of the registry client: reads all endpoints, then watches for changes, and passes each change to
//! the engine immediately. Also serves the client's status on the admin endpoint.

use super::client::{read_range, Watch};
use super::codec::WatchResponse;
use super::config::RegistryConfig;
use super::error::{CallFailure, RegistryError};
use super::session::{Session, Step};
use super::view::{EndpointView, Update, ViewMetrics};
use crate::clock::duration_from_ms;
use crate::engine::executor::Executor;
use crate::text::format_endpoint_id;
use crate::wire::http::{HttpRequest, HttpResponse};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// Status of the client, as `GET /registry` reports it.
#[derive(Debug, Default, serde::Serialize)]
pub struct RegistryStatus {
    /// Revision up to which the endpoint list is complete.
    pub revision: i64,
    /// Time of the last change of the endpoint list, in Unix milliseconds.
    #[serde(rename = "heard_ms")]
    pub last_change_ms: f64,
    /// Time of the last valid response or watch message, in Unix milliseconds.
    #[serde(rename = "answered_ms")]
    pub last_response_ms: f64,
    /// Number of endpoints in the list.
    #[serde(rename = "members")]
    pub endpoints: usize,
    /// Number of watches opened.
    pub watches: u64,
    /// Number of failed calls and watches.
    pub failures: u64,
    /// Message of the latest error; kept after a success.
    pub last_error: Option<String>,
    /// Counters of the endpoint view.
    #[serde(rename = "view")]
    pub view_metrics: ViewMetrics,
}

/// Runs the registry client: reads and watches the endpoints. Never returns.
pub async fn run(
    executor: Rc<Executor>,
    config: RegistryConfig,
    status: Rc<RefCell<RegistryStatus>>,
    seed: u64,
) {
    let mut client = Client {
        executor,
        status,
        address: config.socket_address(),
        call_timeout: duration_from_ms(config.timeout_ms),
        view: EndpointView::new(),
        session: Session::new(config.backoff, config.idle_timeout_ms, seed),
        prefix: config.prefix,
    };
    loop {
        if let Err(error) = client.run_next_step().await {
            let delay_ms = client.record_failure(&error);
            tokio::time::sleep(duration_from_ms(delay_ms)).await;
        }
    }
}

struct Client {
    executor: Rc<Executor>,
    status: Rc<RefCell<RegistryStatus>>,
    address: SocketAddr,
    prefix: String,
    call_timeout: Duration,
    view: EndpointView,
    session: Session,
}

impl Client {
    /// Reads all endpoints, or watches until the watch ends, as the session selects.
    async fn run_next_step(&mut self) -> Result<(), RegistryError> {
        match self.session.next_step(&self.view) {
            Step::ReadAll => self.read_all().await,
            Step::Watch { from_revision } => {
                let watch = Watch::open(self.address, &self.prefix, from_revision, self.call_timeout).await?;
                self.status.borrow_mut().watches += 1;
                self.process_watch(watch).await
            }
        }
    }

    async fn read_all(&mut self) -> Result<(), RegistryError> {
        let range = read_range(self.address, &self.prefix, self.call_timeout).await?;
        self.session.record_success();
        let update = self.view.replace_all(range.revision, range.entries);
        tracing::info!(
            revision = range.revision,
            endpoints = update.endpoints.len(),
            "registry: endpoint list read"
        );
        self.apply_update(update);
        Ok(())
    }

    /// Processes the messages of a watch until it fails or a full read is needed.
    async fn process_watch(&mut self, mut watch: Watch) -> Result<(), RegistryError> {
        let idle_timeout = duration_from_ms(self.session.idle_timeout_ms);
        let error = |source| RegistryError { address: self.address, source };
        loop {
            let message = timeout(idle_timeout, watch.next()).await;
            let response = message.map_err(|_| error(CallFailure::WatchIdle))??;
            // `Created` does not reset the backoff: a faulty registry may accept every watch and then cancel
            // it.
            if !matches!(response, WatchResponse::Created { .. }) {
                self.session.record_success();
            }
            match response {
                WatchResponse::Created { revision } | WatchResponse::Progress { revision }
                    if self.view.detect_reset(revision) =>
                {
                    return Ok(());
                }
                // No change, but refreshes the status.
                WatchResponse::Created { .. } => self.apply_update(Update::default()),
                WatchResponse::Progress { revision } => {
                    let update = self.view.apply_changes(revision, Vec::new());
                    self.apply_update(update);
                }
                WatchResponse::Changes { revision, changes } => {
                    let update = self.view.apply_changes(revision, changes);
                    self.apply_update(update);
                }
                WatchResponse::Compacted { revision } => {
                    self.view.record_compaction(revision);
                    return Ok(());
                }
                WatchResponse::Canceled => return Err(error(CallFailure::WatchCanceled)),
            }
        }
    }

    /// Passes an update to the engine and refreshes the status.
    fn apply_update(&self, update: Update) {
        for value in &update.rejected {
            tracing::error!(
                key = value.key,
                error = %value.error,
                "registry: malformed endpoint value ignored"
            );
        }
        for id in &update.draining {
            tracing::info!(endpoint = %format_endpoint_id(*id), "registry: endpoint started to drain");
        }
        let now_ms = self.executor.clock.now();
        let changed = !update.is_empty();
        if changed {
            self.executor.with(|engine| engine.apply_endpoints(update.full, update.endpoints));
        }
        let mut status = self.status.borrow_mut();
        if changed {
            status.last_change_ms = now_ms;
        }
        status.last_response_ms = now_ms;
        status.revision = self.view.revision();
        status.endpoints = self.view.endpoints().count();
        status.view_metrics = self.view.metrics;
    }

    /// Records a failure and returns the delay before the next attempt, in milliseconds. Logs only when the
    /// number of consecutive failures is a power of two, to limit the log volume.
    fn record_failure(&mut self, error: &RegistryError) -> f64 {
        let delay_ms = self.session.record_failure();
        let failures = self.session.failures;
        let mut status = self.status.borrow_mut();
        status.failures += 1;
        status.last_error = Some(error.to_string());
        if failures.is_power_of_two() {
            tracing::warn!(%error, failures, delay_ms, "registry: call or watch failed; retrying");
        }
        delay_ms
    }
}

/// Handles admin requests for `/registry`. Returns `None` for other paths.
pub fn answer(status: &Rc<RefCell<RegistryStatus>>, request: &HttpRequest) -> Option<HttpResponse> {
    if request.target != "/registry" {
        return None;
    }
    if request.method != "GET" {
        return Some(HttpResponse::status(405).with_header("Allow", "GET"));
    }
    let body = simd_json::to_vec(&*status.borrow()).unwrap_or_default();
    Some(
        HttpResponse { body: body.into(), ..HttpResponse::status(200) }
            .with_header("Content-Type", "application/json"),
    )
}
