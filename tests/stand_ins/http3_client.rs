//! Stand-ins for clients on unreliable networks: a UDP relay that loses, delays, reorders, throttles and cuts, and a client
//! that uses HTTP/3 through it.
#![allow(dead_code)]

use bytes::{Buf, Bytes};
use edge_proxy::http3::config::Http3Config;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::CertificateDer;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::UdpSocket;
use tokio::task::spawn_local;

/// A relay with the impairments of a link, the same in both directions.
pub struct ImpairedLink {
    /// Address for clients.
    pub address: SocketAddr,
    /// Share of datagrams that is lost.
    pub loss: Rc<Cell<f64>>,
    /// Longest random delay of a datagram, in milliseconds.
    pub jitter_ms: Rc<Cell<f64>>,
    /// Bytes per second; 0 for no limit.
    pub rate: Rc<Cell<f64>>,
    /// Whether all datagrams are lost.
    pub cut: Rc<Cell<bool>>,
    /// Datagrams forwarded.
    pub forwarded: Rc<Cell<u64>>,
    /// Datagrams lost.
    pub lost: Rc<Cell<u64>>,
}

impl ImpairedLink {
    pub async fn start(ip: &str, to: SocketAddr, seed: u64) -> Rc<Self> {
        let front = Rc::new(UdpSocket::bind(format!("{ip}:0")).await.unwrap());
        let relay = Rc::new(Self {
            address: front.local_addr().unwrap(),
            loss: Rc::default(),
            jitter_ms: Rc::default(),
            rate: Rc::default(),
            cut: Rc::default(),
            forwarded: Rc::default(),
            lost: Rc::default(),
        });
        let (own, rng) = (relay.clone(), Rc::new(RefCell::new(SmallRng::seed_from_u64(seed))));
        let ip = ip.to_string();
        spawn_local(async move {
            let backs: RefCell<HashMap<SocketAddr, Rc<UdpSocket>>> = RefCell::default();
            let up_free = Rc::new(Cell::new(Instant::now()));
            let mut bytes = [0u8; 65_536];
            loop {
                let Ok((n, from)) = front.recv_from(&mut bytes).await else { continue };
                let known = backs.borrow().get(&from).cloned();
                let back = match known {
                    Some(back) => back,
                    None => {
                        let back = Rc::new(UdpSocket::bind(format!("{ip}:0")).await.unwrap());
                        back.connect(to).await.unwrap();
                        backs.borrow_mut().insert(from, back.clone());
                        let (own, front, from_edge, rng) =
                            (own.clone(), front.clone(), back.clone(), rng.clone());
                        spawn_local(async move {
                            let down_free = Rc::new(Cell::new(Instant::now()));
                            let mut bytes = [0u8; 65_536];
                            loop {
                                let Ok(n) = from_edge.recv(&mut bytes).await else { continue };
                                let (front, data) = (front.clone(), bytes[..n].to_vec());
                                own.forward(&rng, &down_free, n, async move {
                                    let _ = front.send_to(&data, from).await;
                                });
                            }
                        });
                        back
                    }
                };
                let data = bytes[..n].to_vec();
                own.forward(&rng, &up_free, n, async move {
                    let _ = back.send(&data).await;
                });
            }
        });
        relay
    }

    fn forward(
        &self,
        rng: &RefCell<SmallRng>,
        free: &Cell<Instant>,
        bytes: usize,
        send: impl std::future::Future<Output = ()> + 'static,
    ) {
        let mut rng = rng.borrow_mut();
        let (dice, late) = (rng.random_range(0.0..1.0), rng.random_range(0.0..1.0) * self.jitter_ms.get());
        let now = Instant::now();
        let mut at = now;
        if self.rate.get() > 0.0 {
            at = free.get().max(now);
            free.set(at + Duration::from_secs_f64(bytes as f64 / self.rate.get()));
        }
        // The queue holds half a second; further datagrams are lost.
        if self.cut.get() || dice < self.loss.get() || at - now > Duration::from_millis(500) {
            self.lost.set(self.lost.get() + 1);
            return;
        }
        self.forwarded.set(self.forwarded.get() + 1);
        let wait = (at - now) + Duration::from_secs_f64(late / 1_000.0);
        spawn_local(async move {
            tokio::time::sleep(wait).await;
            send.await;
        });
    }
}

/// Writes a certificate for `edge` and its key into a folder.
pub fn write_certificate(dir: &Path) {
    let made = rcgen::generate_simple_self_signed(vec!["edge".to_string()]).unwrap();
    std::fs::write(dir.join("cert.pem"), made.cert.pem()).unwrap();
    std::fs::write(dir.join("key.pem"), made.signing_key.serialize_pem()).unwrap();
}

/// A response as the client received it.
#[derive(Clone, Debug, Default)]
pub struct ClientResponse {
    pub status: u16,
    pub headers: http::HeaderMap,
    pub body: Vec<u8>,
    pub elapsed_ms: f64,
}

impl ClientResponse {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

type Send = h3::client::SendRequest<h3_quinn::OpenStreams, Bytes>;

/// A client's connection.
pub struct Http3Client {
    pub endpoint: quinn::Endpoint,
    pub connection: quinn::Connection,
    send: Send,
    /// Session token, once the server has sent one.
    pub session: Rc<RefCell<Option<String>>>,
}

impl Http3Client {
    /// Connects to an address with the transport settings of an operator file, and trusts its certificate.
    pub async fn connect(at: SocketAddr, config: &Http3Config, session: Option<String>) -> Option<Self> {
        let pem = std::fs::read(config.tls_files().certificate).unwrap();
        let mut roots = rustls::RootCertStore::empty();
        roots.add(CertificateDer::from_pem_slice(&pem).unwrap()).unwrap();
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let mut tls = rustls::ClientConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .unwrap()
            .with_root_certificates(roots)
            .with_no_client_auth();
        tls.alpn_protocols = vec![b"h3".to_vec()];
        let crypto = quinn::crypto::rustls::QuicClientConfig::try_from(tls).unwrap();
        let mut client = quinn::ClientConfig::new(Arc::new(crypto));
        let mut path = config.transport_config();
        path.keep_alive_interval(Some(Duration::from_millis(300)));
        client.transport_config(Arc::new(path));
        let mut endpoint = quinn::Endpoint::client(SocketAddr::new(at.ip(), 0)).unwrap();
        endpoint.set_default_client_config(client);
        let connection = endpoint.connect(at, "edge").unwrap().await.ok()?;
        let (mut driver, send) = h3::client::new(h3_quinn::Connection::new(connection.clone())).await.ok()?;
        spawn_local(async move { drop(std::future::poll_fn(|cx| driver.poll_close(cx)).await) });
        Some(Self { endpoint, connection, send, session: Rc::new(RefCell::new(session)) })
    }

    /// Sends a request and reads at max_bytes `max_bytes` of the response body. Returns none if the connection failed.
    pub async fn request_part(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &[u8],
        max_bytes: usize,
    ) -> Option<ClientResponse> {
        let start = Instant::now();
        let mut request = http::Request::builder().method(method).uri(format!("https://edge{path}"));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        if let Some(token) = &*self.session.borrow() {
            request = request.header("x-session", token);
        }
        let mut send = self.send.clone();
        let mut stream = send.send_request(request.body(()).unwrap()).await.ok()?;
        if !body.is_empty() {
            stream.send_data(Bytes::copy_from_slice(body)).await.ok()?;
        }
        stream.finish().await.ok()?;
        let (parts, ()) = stream.recv_response().await.ok()?.into_parts();
        if let Some(token) = parts.headers.get("x-session") {
            *self.session.borrow_mut() = token.to_str().ok().map(String::from);
        }
        let mut response = ClientResponse {
            status: parts.status.as_u16(),
            headers: parts.headers,
            ..ClientResponse::default()
        };
        while response.body.len() < max_bytes {
            let Some(mut chunk) = stream.recv_data().await.ok()? else { break };
            response.body.extend_from_slice(&chunk.copy_to_bytes(chunk.remaining()));
        }
        response.elapsed_ms = start.elapsed().as_secs_f64() * 1_000.0;
        Some(response)
    }

    pub async fn request(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> Option<ClientResponse> {
        self.request_part(method, path, headers, body, usize::MAX).await
    }

    /// Requests a small object under a call id.
    pub async fn small(&self, id: u64, timeout_ms: u64) -> Option<ClientResponse> {
        let (id, timeout) = (format!("{id:016x}"), timeout_ms.to_string());
        let headers = [("x-call-id", id.as_str()), ("x-patience-ms", &timeout)];
        self.request("GET", &format!("/ops/small-object/{id}"), &headers, b"").await
    }

    /// Sends an ad-post under a call id, with an idempotency key derived from it.
    pub async fn post(&self, id: u64, timeout_ms: u64) -> Option<ClientResponse> {
        let (key, id, timeout) = (format!("k{id:x}"), format!("{id:016x}"), timeout_ms.to_string());
        let headers = [
            ("x-call-id", id.as_str()),
            ("x-patience-ms", &timeout),
            ("x-dedupe-key", &key),
            ("content-length", "2"),
        ];
        self.request("PUT", &format!("/ops/ad-post/{id}"), &headers, b"ad").await
    }
}
