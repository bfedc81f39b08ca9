//! Inherits the listening socket of the platform's front through a file descriptor (socket activation).

use listenfd::ListenFd;
use std::io::{Error, ErrorKind};
use std::net::TcpListener;

/// Environment variable that holds the number of the inherited descriptor.
const DESCRIPTOR_VARIABLE: &str = "NODE_INHERITED_FD";

/// Takes the inherited listening socket, if any. During an upgrade the old process still serves on the same
/// socket, so the new one could not bind the address itself.
pub fn listener() -> Result<Option<TcpListener>, Error> {
    let Some(number) = std::env::var_os(DESCRIPTOR_VARIABLE).filter(|text| !text.is_empty()) else {
        return Ok(None);
    };
    let number = number.to_str().and_then(|text| text.trim().parse::<u16>().ok()).ok_or_else(|| {
        Error::new(
            ErrorKind::InvalidInput,
            format!("{DESCRIPTOR_VARIABLE} is {number:?}, not a descriptor number from 0 to 65535"),
        )
    })?;
    // listenfd reads systemd's variables, and checks that the descriptor is a TCP socket.
    std::env::set_var("LISTEN_FDS", "1");
    std::env::set_var("LISTEN_FDS_FIRST_FD", number.to_string());
    std::env::remove_var("LISTEN_PID");
    let listener = ListenFd::from_env().take_tcp_listener(0)?;
    if let Some(listener) = &listener {
        listener.set_nonblocking(true)?;
    }
    Ok(listener)
}
