//! What an engine wants done on sockets.

use crate::cache_message::CacheCommand;
use crate::state::ids::ConnectionId;
use crate::state::requests::FinalResponse;
use crate::RequestId;
use std::net::SocketAddrV4;

/// What the executor is to do on sockets.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Open a connection, and report whether it was established.
    Open {
        /// Its number.
        conn: ConnectionId,
        /// The endpoint's address.
        address: SocketAddrV4,
        /// Time within which it must be established, in milliseconds.
        within_ms: f64,
    },
    /// [`Engine::next_write`](super::Engine::next_write) may have something for this connection.
    Wake(ConnectionId),
    /// Give a client its final response.
    Respond(RequestId, FinalResponse),
}

/// What a connection's driver writes next.
#[derive(Clone, Debug, PartialEq)]
pub enum NextWrite {
    /// This command, beginning now.
    Write(CacheCommand),
    /// Nothing for now.
    Idle,
    /// Nothing any more: the connection is to be closed.
    Close,
}
