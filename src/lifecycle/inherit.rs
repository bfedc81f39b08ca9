//! The listening socket of the platform's front, where the platform holds it and hands it to each process.

use listenfd::ListenFd;
use std::io::{Error, ErrorKind};
use std::net::TcpListener;

/// The environment variable that holds the number of the descriptor that is handed over.
const DESCRIPTOR_VARIABLE: &str = "NODE_INHERITED_FD";

/// The socket that this process was handed, if any. Guards an upgrade: the old process serves on the same socket, and
/// the address cannot be listened on twice.
pub fn listener() -> Result<Option<TcpListener>, Error> {
    let Some(number) = std::env::var_os(DESCRIPTOR_VARIABLE).filter(|text| !text.is_empty()) else {
        return Ok(None);
    };
    let number = number
        .to_str()
        .and_then(|text| text.trim().parse::<u16>().ok())
        .ok_or_else(|| Error::new(ErrorKind::InvalidInput, format!("{DESCRIPTOR_VARIABLE} is no number")))?;
    // listenfd reads the descriptors from systemd's variables, and checks that this one is a TCP socket.
    std::env::set_var("LISTEN_FDS", "1");
    std::env::set_var("LISTEN_FDS_FIRST_FD", number.to_string());
    std::env::remove_var("LISTEN_PID");
    let listener = ListenFd::from_env().take_tcp_listener(0)?;
    if let Some(listener) = &listener {
        listener.set_nonblocking(true)?;
    }
    Ok(listener)
}
