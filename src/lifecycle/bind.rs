//! Opening of sockets, with a wait for an address that an ending process still holds.

use super::error::ServeError;
use crate::clock::duration_from_ms;
use std::future::Future;
use std::io::ErrorKind;
use std::net::SocketAddr;
use tokio::net::{TcpListener, UdpSocket};

/// How often an address in use is tried, in milliseconds.
const RETRY_INTERVAL_MS: f64 = 10.0;
/// How often an address in use is tried again before it counts as taken: for 3 s, since a process that was just killed
/// holds its addresses until the system has taken its memory and sockets back.
const MAX_RETRIES: u32 = 300;

/// Listens for TCP connections at an address.
pub async fn bind_tcp(address: SocketAddr) -> Result<TcpListener, ServeError> {
    retry_while_in_use(address, || TcpListener::bind(address)).await
}

/// Opens a UDP socket at an address.
pub async fn bind_udp(address: SocketAddr) -> Result<UdpSocket, ServeError> {
    retry_while_in_use(address, || UdpSocket::bind(address)).await
}

/// Opens a socket by `open`, and tries again while another process holds the address, up to `MAX_RETRIES` times.
pub async fn retry_while_in_use<O, F, S>(address: SocketAddr, open: O) -> Result<S, ServeError>
where
    O: Fn() -> F,
    F: Future<Output = std::io::Result<S>>,
{
    for retry in 0..MAX_RETRIES {
        match open().await {
            Err(error) if error.kind() == ErrorKind::AddrInUse => {
                if retry == 0 {
                    tracing::warn!(at = %address, "the address is in use, probably by a process that is ending");
                }
                tokio::time::sleep(duration_from_ms(RETRY_INTERVAL_MS)).await;
            }
            opened => return opened.map_err(|source| ServeError::Listen { address, source }),
        }
    }
    open().await.map_err(|source| ServeError::Listen { address, source })
}
