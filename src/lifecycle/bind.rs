//! Binds sockets, with retries while a terminating process or the other process of an upgrade still holds the
//! address.

use super::error::ServeError;
use super::subsystem::Context;
use crate::clock::duration_from_ms;
use std::future::Future;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use tokio::net::TcpListener;

/// Interval between attempts to bind an address in use, in milliseconds.
const RETRY_INTERVAL_MS: f64 = 10.0;
/// Maximum number of retries while an address is in use, which makes 3 s with [`RETRY_INTERVAL_MS`]: a killed
/// process holds its sockets until the kernel has freed its memory.
const MAX_RETRIES: u32 = 300;

/// Binds a TCP listener to an address.
pub async fn bind_tcp(address: SocketAddr) -> Result<TcpListener, ServeError> {
    retry_while_in_use(address, || TcpListener::bind(address)).await
}

/// Opens a socket with `open`, and retries up to `MAX_RETRIES` times while another process holds the address.
pub async fn retry_while_in_use<O, F, S>(address: SocketAddr, open: O) -> Result<S, ServeError>
where
    O: Fn() -> F,
    F: Future<Output = io::Result<S>>,
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

/// Opens a socket of a subsystem at its own address with `open`, and passes it to `serve`.
///
/// In an upgrade the old process holds the address until it ends, which no time bounds. While it does, this
/// returns at once, and `serve` is called as soon as the address is free: the process must not end, since it may
/// be the only one soon. Otherwise this waits as [`retry_while_in_use`] does.
///
/// # Errors
///
/// [`ServeError::Listen`] if the socket cannot be opened, except while the old process holds the address.
pub async fn serve_when_bound<O, F, S>(
    context: &Context,
    address: SocketAddr,
    open: O,
    serve: impl FnOnce(S) + 'static,
) -> Result<(), ServeError>
where
    O: Fn() -> F + 'static,
    F: Future<Output = io::Result<S>>,
{
    if !context.config.handed_over {
        serve(retry_while_in_use(address, open).await?);
        return Ok(());
    }
    match open().await {
        Ok(socket) => serve(socket),
        Err(error) if error.kind() == ErrorKind::AddrInUse => {
            tracing::info!(%address, "the old process holds the address; waiting until it is free");
            let waiting = async move { serve(open_when_free(address, open).await) };
            context.executor.spawn("socket of a subsystem", waiting);
        }
        Err(source) => return Err(ServeError::Listen { address, source }),
    }
    Ok(())
}

/// Opens a socket with `open` once no other process holds the address. Other errors are logged and retried too.
async fn open_when_free<O, F, S>(address: SocketAddr, open: O) -> S
where
    O: Fn() -> F,
    F: Future<Output = io::Result<S>>,
{
    let mut last_error = ErrorKind::AddrInUse;
    loop {
        tokio::time::sleep(duration_from_ms(RETRY_INTERVAL_MS)).await;
        match open().await {
            Ok(socket) => {
                tracing::info!(%address, "the address is free");
                return socket;
            }
            Err(error) if error.kind() == last_error => {}
            Err(error) => {
                last_error = error.kind();
                tracing::warn!(%address, %error, "cannot listen; retrying");
            }
        }
    }
}
