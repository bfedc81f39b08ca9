//! The I/O that an engine requests from its executor.

use crate::cache_message::CacheCommand;
use crate::state::ids::ConnectionId;
use crate::state::requests::FinalResponse;
use crate::RequestId;
use std::net::SocketAddrV4;

/// An I/O operation that the executor carries out for the engine.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Open a connection and report the result to the engine.
    Open {
        /// Id of the connection.
        conn: ConnectionId,
        /// The endpoint's address.
        address: SocketAddrV4,
        /// Connect time-out, in milliseconds.
        connect_timeout_ms: f64,
    },
    /// Wake the connection's driver: [`Engine::next_write`](super::Engine::next_write) may have something to
    /// write or may close the connection.
    Wake(ConnectionId),
    /// Send the final response to a client.
    Respond(RequestId, FinalResponse),
}

/// What a connection's driver does next: write, wait or close.
#[derive(Clone, Debug, PartialEq)]
pub enum NextWrite {
    /// Write this command now.
    Write(CacheCommand),
    /// There is nothing to write; wait to be woken.
    Idle,
    /// Close the connection.
    Close,
}
