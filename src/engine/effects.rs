//! What an engine wants done on sockets.

use crate::state::connections::ConnectionId;
use crate::state::requests::FinalResponse;
use crate::wire::cache_message::CacheCommand;
use crate::RequestId;
use std::net::SocketAddrV4;

/// What the executor is to do on sockets.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Open a connection and report that it came up or not.
    Open {
        /// Its number.
        conn: ConnectionId,
        /// Where to.
        address: SocketAddrV4,
        /// How long it may take, in milliseconds.
        within_ms: f64,
    },
    /// There is something to ask [`Engine::next_write`] for.
    Wake(ConnectionId),
    /// Give a client its final answer.
    Respond(RequestId, FinalResponse),
}

/// What a connection's driver writes next.
#[derive(Clone, Debug, PartialEq)]
pub enum NextWrite {
    /// This, beginning now.
    Write(CacheCommand),
    /// Nothing for now.
    Idle,
    /// Nothing any more: the connection is to be closed.
    Close,
}
