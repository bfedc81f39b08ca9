//! The clients' listening socket, where the platform holds it and hands it to each process.

use listenfd::ListenFd;
use std::io::{Error, ErrorKind};
use std::net::TcpListener;

/// Names the descriptor of a socket that is handed over.
pub const NAMED_IN: &str = "NODE_INHERITED_FD";

/// The socket that this process was handed, if any. Guards an upgrade: the old process serves on the same socket, and
/// the address can't be listened on twice.
pub fn listener() -> Result<Option<TcpListener>, Error> {
    let Some(number) = std::env::var_os(NAMED_IN).filter(|text| !text.is_empty()) else { return Ok(None) };
    let number = number.to_str().and_then(|text| text.trim().parse::<u16>().ok());
    let number =
        number.ok_or_else(|| Error::new(ErrorKind::InvalidInput, format!("{NAMED_IN} is no number")))?;
    // The library reads the descriptors from systemd's variables, and checks that this one is a TCP socket.
    std::env::set_var("LISTEN_FDS", "1");
    std::env::set_var("LISTEN_FDS_FIRST_FD", number.to_string());
    std::env::remove_var("LISTEN_PID");
    let listener = ListenFd::from_env().take_tcp_listener(0)?;
    if let Some(listener) = &listener {
        listener.set_nonblocking(true)?;
    }
    Ok(listener)
}
