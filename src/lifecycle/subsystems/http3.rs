//! HTTP/3: a QUIC endpoint, and optionally HTTP/1.1 over TCP with the same sessions.

use crate::config_file::BoxError;
use crate::engine::executor::MetricsSource;
use crate::http3::call_registry::CallRegistry;
use crate::http3::config::Http3Config;
use crate::http3::front::Http3Front;
use crate::http3::server::{accept as accept_quic, Http3Server};
use crate::lifecycle::bind::serve_when_bound;
use crate::lifecycle::error::ServeError;
use crate::lifecycle::reload::log_reload;
use crate::lifecycle::subsystem::{Context, StartFuture, StopStage, Subsystem};
use crate::lifecycle::supervisor::supervise;
use crate::wire::closable_listener::ClosableListener;
use crate::wire::front::ConnectionLimits;
use crate::wire::listener::accept;
use crate::wire::platform::{limits, Platform};
use futures_util::future::{ready, FutureExt};
use quinn::{Endpoint, ServerConfig};
use std::cell::{OnceCell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::sync::Notify;

/// The HTTP/3 subsystem: the front and its listeners.
pub struct Http3 {
    config: Http3Config,
    prepared: Option<Prepared>,
    /// The QUIC endpoint, once its address is bound.
    endpoint: Rc<OnceCell<Endpoint>>,
    /// The TLS configuration with which the address is bound, once read.
    tls: Option<Rc<RefCell<ServerConfig>>>,
    quic_closing: Rc<Notify>,
    tcp_closing: Rc<Notify>,
}

/// State that is created before the sockets open.
#[derive(Clone)]
struct Prepared {
    front: Rc<Http3Front>,
    calls: Rc<CallRegistry>,
    server: Rc<Http3Server>,
}

impl Http3 {
    /// Creates the subsystem from its configuration.
    pub fn new(config: Http3Config) -> Self {
        Self {
            config,
            prepared: None,
            endpoint: Rc::default(),
            tls: None,
            quic_closing: Rc::default(),
            tcp_closing: Rc::default(),
        }
    }

    fn create_front(&mut self, context: &Context) -> Result<(), ServeError> {
        let (executor, config_limits) = (&context.executor, &self.config.limits);
        let platform = Rc::new(Platform::new(limits(config_limits.tcp_connections)));
        context.rules.attach(platform.clone());
        let calls = CallRegistry::new(executor.clone(), self.config.resumable_calls.store_limits());
        let tokens = self.config.session_tokens().map_err(ServeError::field("session_keys"))?;
        let connection_limits = ConnectionLimits {
            idle_ms: config_limits.idle_ms,
            body_bytes: config_limits.body_bytes,
            ..limits(config_limits.tcp_connections)
        };
        let front = Rc::new(Http3Front::new(platform, connection_limits, tokens, calls.clone()));
        let server = Http3Server::new(executor.clone(), front.clone(), calls.clone(), config_limits.clone());
        self.prepared = Some(Prepared { front, calls, server });
        Ok(())
    }

    async fn open(&mut self, context: &Context) -> Result<(), ServeError> {
        let Some(Prepared { front, calls, server }) = self.prepared.clone() else { return Ok(()) };
        let executor = &context.executor;
        supervise(executor, "response store", move || calls.clone().run_expiry());
        self.open_quic(context, server).await?;
        match self.config.tcp_address() {
            Some(address) => self.open_tcp(context, front, address).await,
            None => Ok(()),
        }
    }

    async fn open_quic(&mut self, context: &Context, server: Rc<Http3Server>) -> Result<(), ServeError> {
        let listen = self.config.quic_address();
        let tls = self.config.server_config().map_err(ServeError::field("certificate"))?;
        let tls = Rc::new(RefCell::new(tls));
        self.tls = Some(tls.clone());
        let open_endpoint = move || ready(Endpoint::server(tls.borrow().clone(), listen));
        let (executor, stop, closing) =
            (context.executor.clone(), context.stop.clone(), self.quic_closing.clone());
        let bound_endpoint = self.endpoint.clone();
        let accept_connections = move |endpoint: Endpoint| {
            let _ = bound_endpoint.set(endpoint.clone());
            executor.spawn("HTTP/3 listener", accept_quic(server, endpoint, stop, closing));
            tracing::info!(%listen, "HTTP/3 listener started");
        };
        serve_when_bound(context, listen, open_endpoint, accept_connections).await
    }

    async fn open_tcp(
        &self,
        context: &Context,
        front: Rc<Http3Front>,
        listen: SocketAddr,
    ) -> Result<(), ServeError> {
        let (executor, stop, closing) =
            (context.executor.clone(), context.stop.clone(), self.tcp_closing.clone());
        let accept_clients = move |listener| {
            let listener = ClosableListener::new(listener, closing);
            executor.spawn("HTTP/1.1 listener", accept(executor.clone(), front, listener, stop));
        };
        serve_when_bound(context, listen, move || TcpListener::bind(listen), accept_clients).await
    }

    /// Reloads the certificates and session keys from their files.
    fn reload_keys(&self) -> Result<(), BoxError> {
        let tls = self.config.server_config()?;
        if let (Some(_), Some(prepared)) = (&self.config.session_keys, &self.prepared) {
            prepared.front.set_tokens(self.config.session_tokens()?);
        }
        if let Some(endpoint) = self.endpoint.get() {
            endpoint.set_server_config(Some(tls.clone()));
        }
        if let Some(current) = &self.tls {
            *current.borrow_mut() = tls;
        }
        Ok(())
    }
}

impl Subsystem for Http3 {
    fn prepare<'a>(&'a mut self, context: &'a Context) -> StartFuture<'a> {
        ready(self.create_front(context)).boxed_local()
    }

    fn start<'a>(&'a mut self, context: &'a Context) -> StartFuture<'a> {
        self.open(context).boxed_local()
    }

    fn metrics(&self) -> Option<MetricsSource> {
        let server = self.prepared.as_ref()?.server.clone();
        Some(Box::new(move || server.metrics()))
    }

    fn reload(&mut self, _: &Context) {
        log_reload("HTTP/3", &self.config.file, self.reload_keys());
    }

    fn stop(&mut self, stage: StopStage) {
        if stage == StopStage::CloseRemaining {
            self.quic_closing.notify_one();
            self.tcp_closing.notify_one();
        }
    }
}
