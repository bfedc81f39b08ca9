//! The purge address of a cache: `POST /purges/apply`, as docs/fleet-purges.md and the leader's calls have it. Purges are
//! applied in order, up to the first gap; repeats are skipped.

use crate::platform::Cache;
use crate::record::Record;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

#[derive(Clone)]
pub struct PurgeAddress {
    cache: Cache,
    applied: Rc<Cell<u64>>,
    /// Calls get no answer while this is set.
    silent: Rc<Cell<bool>>,
    record: Record,
}

impl PurgeAddress {
    pub async fn start(address: SocketAddr, cache: &Cache, record: &Record) -> Option<Self> {
        let listener = TcpListener::bind(address).await.ok()?;
        let purges = Self {
            cache: cache.clone(),
            applied: Rc::default(),
            silent: Rc::default(),
            record: record.clone(),
        };
        let served = purges.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                spawn_local(served.clone().serve(stream));
            }
        });
        Some(purges)
    }

    pub fn set_silent(&self, silent: bool) {
        self.silent.set(silent);
    }

    async fn serve(self, mut stream: TcpStream) {
        let Some(batch) = read_body(&mut stream).await else { return };
        if self.silent.get() {
            // The caller gives up and closes.
            let _ = stream.read(&mut [0u8; 16]).await;
            return;
        }
        for purge in batch.split("{\"seq\":").skip(1) {
            // A cutoff has no selector; no batch of these plays has one.
            let Some(selector) = text_after(purge, "\"sel\":\"") else { continue };
            let (Some(seq), Some(issued_ms)) = (number(purge), text_after(purge, "\"issued_ms\":")) else {
                continue;
            };
            if seq as u64 != self.applied.get() + 1 {
                continue;
            }
            self.applied.set(seq as u64);
            let group = selector.strip_prefix("group:").and_then(|rest| rest.split('"').next());
            if let (Some(group), Some(issued_ms)) = (group, number(issued_ms)) {
                self.cache.drop_group(group, issued_ms);
                self.record.line(format!("{} applies purge {seq} of group {group}", self.cache.name));
            }
        }
        let body = format!("{{\"applied\":{}}}", self.applied.get());
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
            body.len()
        );
        let _ = stream.write_all((head + &body).as_bytes()).await;
    }
}

fn text_after<'a>(text: &'a str, before: &str) -> Option<&'a str> {
    Some(&text[text.find(before)? + before.len()..])
}

fn number(text: &str) -> Option<f64> {
    let end = text.find(|c: char| !c.is_ascii_digit() && !".eE+-".contains(c)).unwrap_or(text.len());
    text[..end].parse().ok()
}

async fn read_body(stream: &mut TcpStream) -> Option<String> {
    let (mut bytes, mut part) = (Vec::new(), [0u8; 4_096]);
    loop {
        let n = stream.read(&mut part).await.ok().filter(|n| *n > 0)?;
        bytes.extend_from_slice(&part[..n]);
        let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") else { continue };
        let head = String::from_utf8_lossy(&bytes[..end]).to_lowercase();
        let length: usize =
            head.lines().find_map(|line| line.strip_prefix("content-length:")?.trim().parse().ok())?;
        if bytes.len() >= end + 4 + length {
            return Some(String::from_utf8_lossy(&bytes[end + 4..]).to_string());
        }
    }
}
