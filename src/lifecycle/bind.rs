//! Binds sockets, with retries while a terminating process still holds the address.

use super::error::ServeError;
use crate::clock::duration_from_ms;
use std::future::Future;
use std::io::ErrorKind;
use std::net::SocketAddr;
use tokio::net::{TcpListener, UdpSocket};

/// Interval between attempts to bind an address in use, in milliseconds.
const RETRY_INTERVAL_MS: f64 = 10.0;
/// Maximum number of retries while an address is in use, which makes 3 s with [`RETRY_INTERVAL_MS`]: a killed
/// process holds its sockets until the kernel has freed its memory.
const MAX_RETRIES: u32 = 300;

/// Binds a TCP listener to an address.
pub async fn bind_tcp(address: SocketAddr) -> Result<TcpListener, ServeError> {
    retry_while_in_use(address, || TcpListener::bind(address)).await
}

/// Binds a UDP socket to an address.
pub async fn bind_udp(address: SocketAddr) -> Result<UdpSocket, ServeError> {
    retry_while_in_use(address, || UdpSocket::bind(address)).await
}

/// Opens a socket with `open`, and retries up to `MAX_RETRIES` times while another process holds the address.
pub async fn retry_while_in_use<O, F, S>(address: SocketAddr, open: O) -> Result<S, ServeError>
where
    O: Fn() -> F,
    F: Future<Output = std::io::Result<S>>,
{
    for retry in 0..MAX_RETRIES {
        match open().await {
            Err(error) if error.kind() == ErrorKind::AddrInUse => {
                if retry == 0 {
                    tracing::warn!(%address, "the address is in use; retrying for up to 3 s");
                }
                tokio::time::sleep(duration_from_ms(RETRY_INTERVAL_MS)).await;
            }
            opened => return opened.map_err(|source| ServeError::Listen { address, source }),
        }
    }
    open().await.map_err(|source| ServeError::Listen { address, source })
}
