//! A client that speaks HTTP/1.1.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::timeout;

/// A response, as far as it was read.
#[derive(Clone, Debug, Default)]
pub struct Reply {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the whole body arrived.
    pub whole: bool,
}

impl Reply {
    pub fn header(&self, name: &str) -> Option<&str> {
        let header = self.headers.iter().find(|(other, _)| other.eq_ignore_ascii_case(name));
        header.map(|(_, value)| value.as_str())
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).trim_end().to_string()
    }
}

/// The text of a request.
pub fn request(method: &str, target: &str, headers: &[(&str, &str)], body: &str) -> String {
    let mut text = format!("{method} {target} HTTP/1.1\r\nHost: origin.svc\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    if !body.is_empty() {
        text += &format!("Content-Length: {}\r\n", body.len());
    }
    text + "\r\n" + body
}

/// Writes a request on a new connection.
pub async fn send(to: SocketAddr, text: &str) -> std::io::Result<TcpStream> {
    let mut stream = TcpStream::connect(to).await?;
    stream.set_nodelay(true)?;
    stream.write_all(text.as_bytes()).await?;
    Ok(stream)
}

/// Writes a request on a new connection from this loopback address.
pub async fn send_from(from: Ipv4Addr, to: SocketAddr, text: &str) -> std::io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.bind((from, 0).into())?;
    let mut stream = socket.connect(to).await?;
    stream.set_nodelay(true)?;
    stream.write_all(text.as_bytes()).await?;
    Ok(stream)
}

/// Reads a response, up to `most` bytes of its body. `None` if the connection ended before its head.
pub async fn read(stream: &mut TcpStream, most: usize) -> Option<Reply> {
    let mut bytes = Vec::new();
    let mut chunk = [0u8; 4_096];
    let head_end = loop {
        if let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            break end;
        }
        let n = stream.read(&mut chunk).await.ok()?;
        if n == 0 {
            return None;
        }
        bytes.extend_from_slice(&chunk[..n]);
    };
    let head = String::from_utf8_lossy(&bytes[..head_end]).to_string();
    let mut lines = head.lines();
    let status = lines.next()?.split_whitespace().nth(1)?.parse().ok()?;
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.trim().to_string(), value.trim().to_string()))
        .collect();
    let mut reply = Reply { status, headers, body: bytes[head_end + 4..].to_vec(), whole: false };
    let length: usize = reply.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    while reply.body.len() < length.min(most) {
        match stream.read(&mut chunk).await {
            Ok(n) if n > 0 => reply.body.extend_from_slice(&chunk[..n]),
            _ => return Some(reply),
        }
    }
    reply.whole = reply.body.len() >= length;
    Some(reply)
}

/// Sends a request on a new connection and waits for the whole response, `patience_ms` at most.
pub async fn call(to: SocketAddr, text: &str, patience_ms: u64) -> Option<Reply> {
    let exchange = async {
        let mut stream = send(to, text).await.ok()?;
        read(&mut stream, usize::MAX).await
    };
    timeout(Duration::from_millis(patience_ms), exchange).await.ok().flatten()
}

pub async fn get(to: SocketAddr, target: &str, patience_ms: u64) -> Option<Reply> {
    call(to, &request("GET", target, &[("Connection", "close")], ""), patience_ms).await
}
