//! The registry client's thin driver: a full read, then a watch from the revision after it, for ever; what the
//! view and the session decide is carried out here, and the engine hears every change at once.

use super::config::RegistryConfig;
use super::session::{Session, Step};
use super::view::{MemberView, Update, ViewFigures};
use super::wire::{range, RegistryError, Told, Watch};
use crate::clock::duration_from_ms;
use crate::engine::executor::Executor;
use crate::wire::http::{HttpRequest, HttpResponse};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

/// What the link shares with the second address.
#[derive(Debug, Default, serde::Serialize)]
pub struct RegistryStatus {
    /// The revision up to which the view is whole.
    pub revision: i64,
    /// When the engine last heard a change from the registry, Unix milliseconds.
    pub heard_ms: f64,
    /// When the registry last answered anything, Unix milliseconds.
    pub answered_ms: f64,
    /// Endpoints held.
    #[serde(rename = "members")]
    pub endpoints: usize,
    /// Watches made.
    pub watches: u64,
    /// Calls and watches that failed.
    pub failures: u64,
    /// The last failure, in words.
    pub last_error: Option<String>,
    /// The view's figures.
    pub view: ViewFigures,
}

fn tell(host: &Rc<Executor>, link: &RefCell<RegistryStatus>, view: &MemberView, update: Update) {
    for (key, reason) in &update.faults {
        tracing::error!(key, reason, "registry: a member's value can't be read; it stays as it was");
    }
    for id in &update.drains {
        tracing::info!(endpoint = %crate::text::format_endpoint_id(*id), "registry: a member drains");
    }
    let now = host.clock.now();
    if !update.is_empty() {
        host.with(|engine| engine.apply_endpoints(update.full, update.targets));
        link.borrow_mut().heard_ms = now;
    }
    let mut link = link.borrow_mut();
    (link.revision, link.endpoints, link.view, link.answered_ms) =
        (view.revision(), view.endpoints().count(), view.figures, now);
}

fn failed(link: &RefCell<RegistryStatus>, session: &mut Session, error: &RegistryError) -> f64 {
    let wait = session.failed();
    let mut link = link.borrow_mut();
    link.failures += 1;
    link.last_error = Some(error.to_string());
    if session.failures == 1 || session.failures.is_power_of_two() {
        tracing::warn!(%error, failures = session.failures, wait_ms = wait, "registry: the link failed");
    }
    wait
}

/// Keeps the endpoints from the registry for ever.
pub async fn keep(host: Rc<Executor>, config: RegistryConfig, link: Rc<RefCell<RegistryStatus>>, seed: u64) {
    let (at, within) = (config.at(), duration_from_ms(config.timeout_ms));
    let mut view = MemberView::new();
    let mut session = Session::new(config.backoff, config.stall_ms, seed);
    loop {
        let wait = match session.step(&view) {
            Step::Read => match range(at, &config.prefix, within).await {
                Ok((revision, kvs)) => {
                    session.heard();
                    let update = view.read(revision, kvs);
                    tracing::info!(revision, endpoints = update.targets.len(), "registry: all members read");
                    tell(&host, &link, &view, update);
                    continue;
                }
                Err(error) => failed(&link, &mut session, &error),
            },
            Step::Watch(from) => match Watch::open(at, &config.prefix, from, within).await {
                Ok(mut watch) => {
                    link.borrow_mut().watches += 1;
                    let error = follow(&host, &link, &mut view, &mut session, &mut watch, at).await;
                    match error {
                        None => continue,
                        Some(error) => failed(&link, &mut session, &error),
                    }
                }
                Err(error) => failed(&link, &mut session, &error),
            },
        };
        tokio::time::sleep(duration_from_ms(wait)).await;
    }
}

/// Follows a watch until it ends: `None` where a full read is due, else why it broke.
async fn follow(
    host: &Rc<Executor>,
    link: &RefCell<RegistryStatus>,
    view: &mut MemberView,
    session: &mut Session,
    watch: &mut Watch,
    at: SocketAddr,
) -> Option<RegistryError> {
    loop {
        let told = match tokio::time::timeout(duration_from_ms(session.stall_ms), watch.next()).await {
            Ok(Ok(told)) => told,
            Ok(Err(error)) => return Some(error),
            Err(_) => return Some(RegistryError::Broken(at, "the watch fell silent")),
        };
        // A watch that is made and then fails tells nothing of the registry's health: only what it tells does.
        if !matches!(told, Told::Created(_)) {
            session.heard();
        }
        match told {
            Told::Created(revision) | Told::Progress(revision) if view.stands_at(revision) => return None,
            Told::Created(_) => tell(host, link, view, Update::default()),
            Told::Progress(revision) => {
                let update = view.changes(revision, Vec::new());
                tell(host, link, view, update);
            }
            Told::Changes(revision, changes) => {
                let update = view.changes(revision, changes);
                tell(host, link, view, update);
            }
            Told::Compacted(revision) => {
                view.compacted(revision);
                return None;
            }
            Told::Canceled => return Some(RegistryError::Broken(at, "the registry ended the watch")),
        }
    }
}

/// Answers `GET /registry` at the second address: the link's state.
pub fn answer(link: &Rc<RefCell<RegistryStatus>>, request: &HttpRequest) -> Option<HttpResponse> {
    if request.target != "/registry" {
        return None;
    }
    if request.method != "GET" {
        return Some(HttpResponse::status(405).with("Allow", "GET"));
    }
    let body = simd_json::to_vec(&*link.borrow()).unwrap_or_default();
    Some(
        HttpResponse { body: body.into(), ..HttpResponse::status(200) }
            .with("Content-Type", "application/json"),
    )
}
