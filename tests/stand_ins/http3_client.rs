//! A UDP relay that simulates an unreliable link (loss, jitter, reordering, limited bandwidth, outage), and
//! an HTTP/3 client.
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

/// A UDP relay that applies the same loss, delay and bandwidth limit in both directions.
pub struct ImpairedLink {
    /// Address to which clients connect.
    pub address: SocketAddr,
    /// Probability that a datagram is dropped.
    pub loss_rate: Rc<Cell<f64>>,
    /// Maximum random delay of a datagram, in milliseconds. Datagrams may be reordered.
    pub jitter_ms: Rc<Cell<f64>>,
    /// Bandwidth in each direction, in bytes per second; 0 for no limit.
    pub bytes_per_second: Rc<Cell<f64>>,
    /// Whether the link is down: all datagrams are dropped.
    pub down: Rc<Cell<bool>>,
    /// Number of datagrams forwarded.
    pub forwarded: Rc<Cell<u64>>,
    /// Number of datagrams dropped.
    pub dropped: Rc<Cell<u64>>,
}

impl ImpairedLink {
    pub async fn start(ip: &str, server: SocketAddr, seed: u64) -> Rc<Self> {
        let client_socket = Rc::new(UdpSocket::bind(format!("{ip}:0")).await.unwrap());
        let link = Rc::new(Self {
            address: client_socket.local_addr().unwrap(),
            loss_rate: Rc::default(),
            jitter_ms: Rc::default(),
            bytes_per_second: Rc::default(),
            down: Rc::default(),
            forwarded: Rc::default(),
            dropped: Rc::default(),
        });
        let (relay, rng) = (link.clone(), Rc::new(RefCell::new(SmallRng::seed_from_u64(seed))));
        let ip = ip.to_string();
        spawn_local(async move {
            let server_sockets: RefCell<HashMap<SocketAddr, Rc<UdpSocket>>> = RefCell::default();
            let uplink_free_at = Rc::new(Cell::new(Instant::now()));
            let mut buffer = [0u8; 65_536];
            loop {
                let Ok((length, client)) = client_socket.recv_from(&mut buffer).await else { continue };
                let existing_socket = server_sockets.borrow().get(&client).cloned();
                let server_socket = match existing_socket {
                    Some(server_socket) => server_socket,
                    None => {
                        let server_socket = Rc::new(UdpSocket::bind(format!("{ip}:0")).await.unwrap());
                        server_socket.connect(server).await.unwrap();
                        server_sockets.borrow_mut().insert(client, server_socket.clone());
                        let (relay, client_socket, from_server, rng) =
                            (relay.clone(), client_socket.clone(), server_socket.clone(), rng.clone());
                        spawn_local(async move {
                            let downlink_free_at = Rc::new(Cell::new(Instant::now()));
                            let mut buffer = [0u8; 65_536];
                            loop {
                                let Ok(length) = from_server.recv(&mut buffer).await else { continue };
                                let (client_socket, data) =
                                    (client_socket.clone(), buffer[..length].to_vec());
                                relay.forward(&rng, &downlink_free_at, length, async move {
                                    let _ = client_socket.send_to(&data, client).await;
                                });
                            }
                        });
                        server_socket
                    }
                };
                let data = buffer[..length].to_vec();
                relay.forward(&rng, &uplink_free_at, length, async move {
                    let _ = server_socket.send(&data).await;
                });
            }
        });
        link
    }

    /// Sends a datagram with the future `send` after the simulated delay, or drops it. `free_at` is when the
    /// link has transmitted all earlier datagrams of this direction, if its bandwidth is limited.
    fn forward(
        &self,
        rng: &RefCell<SmallRng>,
        free_at: &Cell<Instant>,
        bytes: usize,
        send: impl std::future::Future<Output = ()> + 'static,
    ) {
        let mut rng = rng.borrow_mut();
        let (loss_sample, delay_ms) =
            (rng.random_range(0.0..1.0), rng.random_range(0.0..1.0) * self.jitter_ms.get());
        let now = Instant::now();
        let mut send_at = now;
        if self.bytes_per_second.get() > 0.0 {
            send_at = free_at.get().max(now);
            free_at.set(send_at + Duration::from_secs_f64(bytes as f64 / self.bytes_per_second.get()));
        }
        // The queue holds datagrams for up to half a second; excess ones are dropped.
        if self.down.get() || loss_sample < self.loss_rate.get() || send_at - now > Duration::from_millis(500)
        {
            self.dropped.set(self.dropped.get() + 1);
            return;
        }
        self.forwarded.set(self.forwarded.get() + 1);
        let delay = (send_at - now) + Duration::from_secs_f64(delay_ms / 1_000.0);
        spawn_local(async move {
            tokio::time::sleep(delay).await;
            send.await;
        });
    }
}

/// Writes a self-signed certificate for the name `edge` and its private key into a folder.
pub fn write_certificate(dir: &Path) {
    let certified = rcgen::generate_simple_self_signed(vec!["edge".to_string()]).unwrap();
    std::fs::write(dir.join("cert.pem"), certified.cert.pem()).unwrap();
    std::fs::write(dir.join("key.pem"), certified.signing_key.serialize_pem()).unwrap();
}

/// A response received by the client.
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

type RequestSender = h3::client::SendRequest<h3_quinn::OpenStreams, Bytes>;

/// An HTTP/3 client with one connection.
pub struct Http3Client {
    pub endpoint: quinn::Endpoint,
    pub connection: quinn::Connection,
    sender: RequestSender,
    /// Latest session token received from the server.
    pub session: Rc<RefCell<Option<String>>>,
}

impl Http3Client {
    /// Connects with the transport settings of `config`, and trusts its certificate.
    pub async fn connect(address: SocketAddr, config: &Http3Config, session: Option<String>) -> Option<Self> {
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
        let mut client_config = quinn::ClientConfig::new(Arc::new(crypto));
        let mut transport = config.transport_config();
        transport.keep_alive_interval(Some(Duration::from_millis(300)));
        client_config.transport_config(Arc::new(transport));
        let mut endpoint = quinn::Endpoint::client(SocketAddr::new(address.ip(), 0)).unwrap();
        endpoint.set_default_client_config(client_config);
        let connection = endpoint.connect(address, "edge").unwrap().await.ok()?;
        let (mut driver, sender) =
            h3::client::new(h3_quinn::Connection::new(connection.clone())).await.ok()?;
        spawn_local(async move { drop(std::future::poll_fn(|cx| driver.poll_close(cx)).await) });
        Some(Self { endpoint, connection, sender, session: Rc::new(RefCell::new(session)) })
    }

    /// Sends a request and reads the response body until at least `min_bytes` have been received or it
    /// ends. Returns `None` if the request or the connection failed.
    pub async fn request_prefix(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &[u8],
        min_bytes: usize,
    ) -> Option<ClientResponse> {
        let start = Instant::now();
        let mut request = http::Request::builder().method(method).uri(format!("https://edge{path}"));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        if let Some(token) = &*self.session.borrow() {
            request = request.header("x-session", token);
        }
        let mut sender = self.sender.clone();
        let mut stream = sender.send_request(request.body(()).unwrap()).await.ok()?;
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
        while response.body.len() < min_bytes {
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
        self.request_prefix(method, path, headers, body, usize::MAX).await
    }

    /// Requests a small object with the given call id.
    pub async fn get_small_object(&self, id: u64, timeout_ms: u64) -> Option<ClientResponse> {
        let (id, timeout) = (format!("{id:016x}"), timeout_ms.to_string());
        let headers = [("x-call-id", id.as_str()), ("x-patience-ms", &timeout)];
        self.request("GET", &format!("/ops/small-object/{id}"), &headers, b"").await
    }

    /// Sends an ad-post with the given call id and an idempotency key derived from it.
    pub async fn put_ad_post(&self, id: u64, timeout_ms: u64) -> Option<ClientResponse> {
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
