//! Tests of responses that are delivered although something else panics.

use super::*;
use crate::admission::config::AdmissionConfig;
use crate::cache_message::{CacheCommand, CacheReply, ReplyStatus};
use crate::endpoint_list::{EndpointRecord, ListedEndpoint, Sequenced, WatchEvent};
use crate::engine::{EngineLimits, NextWrite};
use crate::state::connections::ConnectionLimits;
use crate::text::parse_hex16;
use crate::EndpointState;
use std::cell::Cell;
use std::time::Duration;

/// A stand-in for an endpoint that serves one request for each permit.
struct OneAtATime {
    permits: Rc<tokio::sync::Semaphore>,
}

impl ConnectionDriver for OneAtATime {
    fn drive(&self, executor: Rc<Executor>, dial: Dial) -> LocalBoxFuture<'static, ()> {
        let permits = self.permits.clone();
        Box::pin(async move {
            executor.with(|engine| engine.connection_established(dial.conn));
            loop {
                match executor.with(|engine| engine.next_write(dial.conn)) {
                    NextWrite::Write(CacheCommand::Send(request)) => {
                        permits.acquire().await.expect("the semaphore is open").forget();
                        let id = parse_hex16(&request.id).expect("an id of 16 digits");
                        let reply = CacheReply::new(id, ReplyStatus::Served);
                        executor.with(|engine| engine.handle_reply(dial.conn, reply));
                    }
                    NextWrite::Write(CacheCommand::Cancel(_)) => {}
                    NextWrite::Idle => dial.waker.notified().await,
                    NextWrite::Close => return,
                }
            }
        })
    }
}

fn settings() -> PlatformSettings {
    let text = r#"{"classes":[{"name":"clip","deadlineUs":5000000,"promiseUs":600000,"semantics":"pure"},
        {"name":"post","deadlineUs":5000000,"promiseUs":600000,"semantics":"side_effect"}],
        "familyInfo":{"uncached":[false,true],"mayPassBy":true,"midKind":1,"rootKind":2},"localities":["hub"],"locality":"hub",
        "skus":["box","parent","origin"],"siblings":1,
        "policyLimits":{"cancelling":true,"connectTimeoutUs":400000,"sendCap":8,"streamsPerConn":4}}"#;
    serde_json::from_str(text).expect("the settings are valid")
}

/// Starts an executor with one endpoint of each tier, which admits one request at a time.
fn start(clock: Clock, driver: impl ConnectionDriver + 'static) -> Rc<Executor> {
    let connections =
        ConnectionLimits { total: 8, per_endpoint: 4, spread_above: 4, streams_per_connection: 4 };
    let limits = EngineLimits { requests: 9, connections };
    let engine = Engine::new(clock.clone(), Rc::new(settings()), 7, limits);
    let executor = Executor::new(clock, engine, driver);
    let endpoint = |id: EndpointId, kind: &str| {
        let record = EndpointRecord {
            id,
            state: EndpointState::Active,
            zone: "hub".into(),
            kind: kind.into(),
            started_at: 0,
            capacity_hint: Some(4.0),
            cell: 0,
        };
        ListedEndpoint { record, address: SocketAddrV4::new([127, 0, 0, 1].into(), 5_000 + id as u16) }
    };
    let endpoints = vec![endpoint(1, "box"), endpoint(2, "parent"), endpoint(3, "origin")];
    let event = WatchEvent::Endpoints { full: true, endpoints };
    executor.with(|engine| engine.apply_event(Sequenced { number: 1, event }));
    let limit_of_one = r#"{"limit":{"first":1,"least":1,"most":1},"reserve_share":0}"#;
    let config: AdmissionConfig = serde_json::from_str(limit_of_one).expect("the configuration is valid");
    executor.set_admission(AdmissionControl::new(config, "test"));
    executor
}

fn manual_clock() -> Clock {
    Clock::manual(1_000_000.0)
}

fn request(executor: &Executor, id: RequestId, patience_ms: f64) -> IncomingRequest {
    IncomingRequest {
        id,
        id_text: format!("{id:016x}"),
        class: executor.settings().class("clip").expect("a class").clone(),
        object: id,
        deadline_ms: executor.clock.now() + patience_ms,
        client: Some([10, 0, 0, id as u8].into()),
        ..IncomingRequest::default()
    }
}

/// Runs a test on a local task set. The time limit only stops a test that hangs.
fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let bounded = async { tokio::time::timeout(Duration::from_secs(20), test).await };
    tokio::task::LocalSet::new().block_on(&runtime, bounded).expect("the test hangs");
}

/// Guards against a panic of admission control that takes the response of the request that has just ended, and
/// those of the queued ones.
#[test]
fn a_panic_of_admission_control_takes_no_response_with_it() {
    run(async {
        let permits = Rc::new(tokio::sync::Semaphore::new(0));
        let executor = start(manual_clock(), OneAtATime { permits: permits.clone() });
        let responses = [1, 2, 3].map(|id| executor.submit(request(&executor, id, 5_000.0)));
        executor.with_admission(AdmissionControl::corrupt);
        permits.add_permits(3);
        for response in responses {
            let response = response.expect("the request is accepted").await;
            assert!(matches!(response, Ok(FinalResponse::Served { .. })), "{response:?}");
        }
    });
}

/// A driver that panics once its first request has been written; later connections are served by the other one.
struct PanicsOnce {
    inner: OneAtATime,
    has_panicked: Rc<Cell<bool>>,
}

impl ConnectionDriver for PanicsOnce {
    fn drive(&self, executor: Rc<Executor>, dial: Dial) -> LocalBoxFuture<'static, ()> {
        if self.has_panicked.replace(true) {
            return self.inner.drive(executor, dial);
        }
        Box::pin(async move {
            executor.with(|engine| engine.connection_established(dial.conn));
            let written = executor.with(|engine| engine.next_write(dial.conn));
            assert!(matches!(written, NextWrite::Write(_)));
            panic!("intentional panic");
        })
    }
}

/// Guards against a second panic while the first one unwinds, which aborts the process: the end of the connection
/// ends a request, for which admission control panics too.
#[test]
fn a_panic_of_a_connection_and_one_of_admission_control_lose_no_response() {
    run(async {
        let inner = OneAtATime { permits: Rc::new(tokio::sync::Semaphore::new(8)) };
        let executor = start(manual_clock(), PanicsOnce { inner, has_panicked: Rc::default() });
        let class = executor.settings().class("post").expect("a class").clone();
        let write = IncomingRequest { class, ..request(&executor, 1, 5_000.0) };
        let failed = executor.submit(write).expect("the request is accepted");
        let queued = executor.submit(request(&executor, 2, 5_000.0)).expect("the request is queued");
        executor.with_admission(AdmissionControl::corrupt);
        assert_eq!(failed.await, Ok(FinalResponse::Failed { overdue: false }));
        assert!(matches!(queued.await, Ok(FinalResponse::Served { .. })));
        assert_eq!(executor.with(|engine| engine.counters.panics), 1);
    });
}

/// Guards against a queued request that is shed after its client has stopped waiting, because the timers wait for
/// something later.
#[test]
fn a_queued_request_that_cannot_be_served_is_shed_before_its_deadline() {
    run(async {
        let silent = OneAtATime { permits: Rc::new(tokio::sync::Semaphore::new(0)) };
        let executor = start(Clock::system(), silent);
        tokio::task::spawn_local(executor.clone().run_timers());
        let _running = executor.submit(request(&executor, 1, 5_000.0)).expect("the request is accepted");
        // The timers now wait for the first time-out of the running request.
        tokio::time::sleep(Duration::from_millis(10)).await;
        let queued = request(&executor, 2, 300.0);
        let deadline_ms = queued.deadline_ms;
        let response = executor.submit(queued).expect("the request is queued").await;
        assert!(matches!(response, Ok(FinalResponse::Rejected { .. })), "{response:?}");
        let late_ms = executor.clock.now() - deadline_ms;
        assert!(late_ms < 0.0, "shed {late_ms} ms after its deadline");
    });
}
