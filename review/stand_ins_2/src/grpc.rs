//! gRPC backends and clients on the `h2` crate.

use crate::record::{now_ms, Record};
use bytes::Bytes;
use h2::client::SendRequest;
use h2::server::SendResponse;
use h2::RecvStream;
use http::{HeaderMap, Request, Response};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;

/// The store behind all backends. It drops a repeat of a key for a time after the key's first run.
pub struct Store {
    window_ms: f64,
    /// When each key ran.
    pub runs: RefCell<HashMap<String, Vec<f64>>>,
}

impl Store {
    pub fn new(window_ms: f64) -> Rc<Self> {
        Rc::new(Self { window_ms, runs: RefCell::default() })
    }

    /// Runs a call with this key, unless it is a repeat. Returns whether it ran.
    fn run(&self, key: &str) -> bool {
        let (now, mut runs) = (now_ms(), self.runs.borrow_mut());
        let of_key = runs.entry(key.to_string()).or_default();
        if of_key.last().is_some_and(|last| now < last + self.window_ms) {
            return false;
        }
        of_key.push(now);
        true
    }
}

/// A call that arrived at a backend.
struct Call {
    at_ms: f64,
    name: String,
}

/// A backend. A call carries its name in `x-name` and the time that it takes, in milliseconds, in `x-takes`.
#[derive(Clone)]
pub struct Backend {
    pub name: &'static str,
    pub address: SocketAddr,
    calls: Rc<RefCell<Vec<Call>>>,
    most_streams: u32,
    store: Rc<Store>,
    record: Record,
    dead: Rc<Notify>,
    is_dead: Rc<Cell<bool>>,
}

impl Backend {
    /// Starts a backend that takes `most_streams` calls at once on a connection, and says so
    /// (SETTINGS_MAX_CONCURRENT_STREAMS, RFC 9113, section 6.5.2).
    pub async fn start(name: &'static str, most_streams: u32, store: &Rc<Store>, record: &Record) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let backend = Self {
            name,
            address: listener.local_addr().unwrap(),
            calls: Rc::default(),
            most_streams,
            store: store.clone(),
            record: record.clone(),
            dead: Rc::default(),
            is_dead: Rc::default(),
        };
        let served = backend.clone();
        spawn_local(async move {
            loop {
                tokio::select! {
                    biased;
                    () = served.dead.notified() => return,
                    accepted = listener.accept() => {
                        if let Ok((stream, _)) = accepted {
                            spawn_local(served.clone().serve(stream));
                        }
                    }
                }
            }
        });
        backend
    }

    /// The process dies: its connections are reset, and new ones are refused.
    pub fn die(&self) {
        self.record.line(format!("backend {} dies", self.name));
        self.is_dead.set(true);
        self.dead.notify_waiters();
    }

    /// When the call with this name arrived.
    pub fn arrivals(&self, name: &str) -> Vec<f64> {
        self.calls.borrow().iter().filter(|call| call.name == name).map(|call| call.at_ms).collect()
    }

    async fn serve(self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut builder = h2::server::Builder::new();
        builder.max_concurrent_streams(self.most_streams);
        let Ok(mut connection) = builder.handshake::<_, Bytes>(stream).await else { return };
        loop {
            tokio::select! {
                biased;
                () = self.dead.notified() => return,
                call = connection.accept() => match call {
                    Some(Ok((request, respond))) => drop(spawn_local(self.clone().call(request, respond))),
                    _ => return,
                }
            }
        }
    }

    async fn call(self, request: Request<RecvStream>, mut respond: SendResponse<Bytes>) {
        let (parts, mut body) = request.into_parts();
        let header = |name: &str| {
            parts.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default().to_string()
        };
        let (name, key) = (header("x-name"), header("x-dedupe-key"));
        let path = parts.uri.path().to_string();
        while let Some(Ok(chunk)) = body.data().await {
            let _ = body.flow_control().release_capacity(chunk.len());
        }
        self.calls.borrow_mut().push(Call { at_ms: now_ms(), name: name.clone() });
        let ran = match key.is_empty() {
            true => "runs it".to_string(),
            false if self.store.run(&key) => format!("RUNS it under key {key}"),
            false => format!("drops it as a repeat of key {key}"),
        };
        self.record.line(format!("backend {} gets {path} {name} and {ran}", self.name));
        tokio::time::sleep(Duration::from_millis(header("x-takes").parse().unwrap_or(0))).await;
        if self.is_dead.get() {
            return;
        }
        let head =
            Response::builder().header("content-type", "application/grpc").header("x-backend", self.name);
        let Ok(mut stream) = respond.send_response(head.body(()).unwrap(), false) else { return };
        let _ = stream.send_data(Bytes::from_static(&[0, 0, 0, 0, 2, 8, 1]), false);
        let mut trailers = HeaderMap::new();
        trailers.insert("grpc-status", "0".parse().unwrap());
        let _ = stream.send_trailers(trailers);
        self.record.line(format!("backend {} answers {path} {name} with status 0", self.name));
    }
}

/// What a client got for a call.
#[derive(Default)]
pub struct Answer {
    /// The gRPC status; `None` if there was none.
    pub status: Option<i32>,
    /// The backend that answered.
    pub backend: String,
    pub error: Option<String>,
    pub at_ms: f64,
}

impl fmt::Display for Answer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (self.status, &self.error) {
            (Some(status), _) => write!(f, "status {status} from {:?}", self.backend),
            (None, Some(error)) => write!(f, "no status: {error}"),
            (None, None) => write!(f, "no status"),
        }
    }
}

#[derive(Clone)]
pub struct Client {
    send: SendRequest<Bytes>,
}

impl Client {
    pub async fn connect(to: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect(to).await.ok()?;
        let _ = stream.set_nodelay(true);
        let (send, connection) = h2::client::Builder::new().handshake::<_, Bytes>(stream).await.ok()?;
        spawn_local(async move { drop(connection.await) });
        Some(Self { send })
    }

    /// Makes a unary call. `timeout_ms` is the client's own deadline.
    pub async fn call(&self, path: &str, timeout_ms: u64, headers: &[(&str, &str)]) -> Answer {
        let mut request = Request::builder().method("POST").uri(format!("http://edge{path}"));
        request = request.header("content-type", "application/grpc").header("te", "trailers");
        request = request.header("grpc-timeout", format!("{timeout_ms}m"));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(()).unwrap();
        let got =
            tokio::time::timeout(Duration::from_millis(timeout_ms + 3_000), self.exchange(request)).await;
        let mut answer = match got {
            Ok(Ok(answer)) => answer,
            Ok(Err(error)) => Answer { error: Some(error.to_string()), ..Answer::default() },
            Err(_) => Answer { error: Some("no answer".into()), ..Answer::default() },
        };
        answer.at_ms = now_ms();
        answer
    }

    async fn exchange(&self, request: Request<()>) -> Result<Answer, h2::Error> {
        let mut send = self.send.clone().ready().await?;
        let (response, mut stream) = send.send_request(request, false)?;
        stream.send_data(Bytes::from_static(&[0, 0, 0, 0, 2, 8, 7]), true)?;
        let (parts, mut body) = response.await?.into_parts();
        while let Some(chunk) = body.data().await {
            let chunk = chunk?;
            let _ = body.flow_control().release_capacity(chunk.len());
        }
        let trailers = body.trailers().await?;
        let text = |headers: &HeaderMap, name: &str| {
            headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default().to_string()
        };
        let status = text(trailers.as_ref().unwrap_or(&parts.headers), "grpc-status");
        Ok(Answer {
            status: status.parse().ok(),
            backend: text(&parts.headers, "x-backend"),
            ..Answer::default()
        })
    }
}
