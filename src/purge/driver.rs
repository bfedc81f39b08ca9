//! The thin driver of fleet purges: the calls at the second address, and the leader's task that sends each
//! target its batches. What to send, when, and what an answer means is the book's and the fan-out's.

use super::age_limit::Guard;
use super::book::{Book, Outgoing, ReceiveError, SubmitError};
use super::config::{PurgeConfig, Role};
use super::log::LogError;
use super::wire::{call, from_json, to_json, Ack, Batch, Fault, Submit};
use crate::clock::duration_from_ms;
use crate::engine::executor::Executor;
use crate::wire::http::{HttpRequest, HttpResponse};
use std::cell::RefCell;
use std::rc::Rc;
use tokio::sync::{Notify, Semaphore};

/// How often the roster's targets are looked at, in milliseconds.
const TARGETS_LOOK_MS: f64 = 1_000.0;
/// How often what was written without waiting is made lasting, in milliseconds.
const SYNC_MS: f64 = 1_000.0;
/// Calls to targets at once: each takes a descriptor, and there may be more targets than those.
pub const MAX_CALLS: usize = 64;
/// The most purges that `GET /purges/log` gives at once.
const MAX_LIST: usize = 1_000;

/// What the calls and the task share.
pub struct PurgeService {
    /// The book.
    pub book: RefCell<Book>,
    /// The operator file.
    pub config: PurgeConfig,
    /// Wakes the task: a purge was issued, or a batch came back.
    pub wake: Notify,
    /// Bounds the calls to targets.
    calls: Semaphore,
}

/// Gives the engine its guard, reads the log, and makes the desk. The ledger binds before anything is served.
pub fn open(host: &Rc<Executor>, config: PurgeConfig, seed: u64) -> Result<Rc<PurgeService>, LogError> {
    let now = host.clock.now();
    let guard = Guard::new(config.ledger_bounds(), config.tags_most);
    let book = host.with(|engine| {
        let guard = engine.set_guard(guard);
        Book::open(&config, &mut guard.ledger, now, seed)
    })?;
    Ok(Rc::new(PurgeService {
        book: RefCell::new(book),
        config,
        wake: Notify::new(),
        calls: Semaphore::new(MAX_CALLS),
    }))
}

/// The leader's task: sends each target what it lacks, and keeps the log lasting. A follower's only syncs.
pub async fn run(host: Rc<Executor>, desk: Rc<PurgeService>) {
    let leader = desk.book.borrow().role() == Role::Leader;
    let (mut look_at, mut sync_at) = (f64::NEG_INFINITY, host.clock.now() + SYNC_MS);
    loop {
        let now = host.clock.now();
        if leader && now >= look_at {
            let targets = match desk.config.roster_port {
                Some(port) => host.with(|engine| engine.purge_targets(port)),
                None => Vec::new(),
            };
            desk.book.borrow_mut().set_targets(now, targets);
            look_at = now + TARGETS_LOOK_MS;
        }
        let outgoing = if leader { desk.book.borrow_mut().due(now) } else { Vec::new() };
        for out in outgoing {
            tokio::task::spawn_local(send(host.clone(), desk.clone(), out));
        }
        if now >= sync_at {
            if let Err(error) = desk.book.borrow_mut().sync() {
                tracing::error!(%error, "purges: the log can't be made lasting");
            }
            sync_at = now + SYNC_MS;
        }
        let next = desk.book.borrow().next_due().unwrap_or(f64::INFINITY).min(sync_at);
        let next = if leader { next.min(look_at) } else { next };
        tokio::select! {
            () = tokio::time::sleep(duration_from_ms(next - now)) => {}
            () = desk.wake.notified() => {}
        }
    }
}

async fn send(host: Rc<Executor>, desk: Rc<PurgeService>, out: Outgoing) {
    let body = to_json(&out.batch);
    let within = duration_from_ms(desk.config.timeout_ms);
    let place = desk.calls.acquire().await;
    let answer = call(out.address, "POST", "/purges/apply", &body, within).await;
    drop(place);
    let now = host.clock.now();
    let applied = match answer {
        Ok(answer) if answer.status == 200 => from_json::<Ack>(&answer.body).map(|ack| ack.applied),
        Ok(answer) => Err(format!("status {}", answer.status)),
        Err(error) => Err(error.to_string()),
    };
    match applied {
        Ok(applied) => {
            let heard = host.with(|engine| {
                let ledger = &mut engine.guard().expect("a desk has a guard").ledger;
                desk.book.borrow_mut().answered(&out.target, applied, ledger, now)
            });
            if let Err(error) = heard {
                tracing::error!(%error, target = out.target, "purges: an acknowledgement can't be written down");
            }
        }
        Err(reason) => desk.book.borrow_mut().failed(&out.target, now, &reason),
    }
    desk.wake.notify_one();
}

fn json(status: u16, body: Vec<u8>) -> HttpResponse {
    HttpResponse { body: body.into(), ..HttpResponse::status(status) }
        .with("Content-Type", "application/json")
}

fn fault(status: u16, error: impl ToString) -> HttpResponse {
    json(status, to_json(&Fault { error: error.to_string() }))
}

/// Answers the purge calls of the second address; none for a call that is not one of them.
pub fn answer(host: &Rc<Executor>, desk: &Rc<PurgeService>, request: &HttpRequest) -> Option<HttpResponse> {
    let (path, query) = request.target.split_once('?').unwrap_or((&request.target, ""));
    let allowed = match path {
        "/purges" => "GET, POST",
        "/purges/log" => "GET",
        "/purges/apply" => "POST",
        _ => return None,
    };
    if !allowed.split(", ").any(|m| m == request.method) {
        return Some(HttpResponse::status(405).with("Allow", allowed));
    }
    let now = host.clock.now();
    let answer = match (request.method.as_str(), path) {
        ("POST", "/purges") => match from_json::<Submit>(&request.body) {
            Err(reason) => fault(400, reason),
            Ok(submit) => {
                let issued = host.with(|engine| {
                    let ledger = &mut engine.guard().expect("a desk has a guard").ledger;
                    desk.book.borrow_mut().submit(submit.sel, ledger, now)
                });
                match issued {
                    Ok(submitted) => {
                        desk.wake.notify_one();
                        json(200, to_json(&submitted))
                    }
                    Err(error @ SubmitError::NotLeader) => fault(409, error),
                    Err(error @ SubmitError::Log(_)) => {
                        tracing::error!(%error, "purges: a purge was not issued");
                        fault(500, error)
                    }
                }
            }
        },
        ("POST", _) => match from_json::<Batch>(&request.body) {
            Err(reason) => fault(400, reason),
            Ok(batch) => {
                let applied = host.with(|engine| {
                    let ledger = &mut engine.guard().expect("a desk has a guard").ledger;
                    desk.book.borrow_mut().receive(&batch, ledger, now)
                });
                match applied {
                    Ok(applied) => json(200, to_json(&Ack { applied })),
                    Err(error @ (ReceiveError::NotFollower | ReceiveError::Disordered)) => fault(409, error),
                    Err(error @ ReceiveError::Log(_)) => {
                        tracing::error!(%error, "purges: a batch was not taken");
                        fault(500, error)
                    }
                }
            }
        },
        (_, "/purges/log") => {
            let from = number(query, "from").unwrap_or(1);
            let most = number(query, "most").map_or(MAX_LIST, |m| (m as usize).min(MAX_LIST));
            let listing = host.with(|engine| {
                let ledger = &engine.guard().expect("a desk has a guard").ledger;
                desk.book.borrow().list(ledger, from, most)
            });
            json(200, to_json(&listing))
        }
        _ => {
            let status = host.with(|engine| {
                let guard = engine.guard().expect("a desk has a guard");
                let mut status = simd_json::serde::to_owned_value(desk.book.borrow().status(&guard.ledger));
                if let Ok(simd_json::OwnedValue::Object(map)) = &mut status {
                    let figures = simd_json::serde::to_owned_value(guard.figures).ok();
                    map.insert("guard".into(), figures.unwrap_or_default());
                    map.insert("tags_known".into(), (guard.tags_known() as u64).into());
                }
                status
            });
            match status {
                Ok(status) => json(200, simd_json::to_vec(&status).unwrap_or_default()),
                Err(error) => fault(500, error),
            }
        }
    };
    Some(answer)
}

/// A number in a query such as `from=3&most=10`.
fn number(query: &str, name: &str) -> Option<u64> {
    query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
}
