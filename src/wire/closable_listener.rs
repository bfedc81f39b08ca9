//! A TCP listener that closes on request, with or without accepting the connections in its backlog. Its
//! connections know how long they can have waited there.

use super::timestamped_stream::{enable_timestamps, moment, TimestampedStream};
use crate::clock::{duration_from_ms, Clock};
use crate::state::arrivals::BacklogEmpty;
use futures_util::FutureExt;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::timeout;

/// Time limit of each accept while a closing listener empties its backlog, in milliseconds.
const BACKLOG_ACCEPT_MS: f64 = 1.0;

/// What happens to the connections in the listen backlog when a listener closes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Backlog {
    /// They are accepted, since they may already have sent requests.
    Accept,
    /// Another process accepts them from the same socket.
    Leave,
}

/// A listener that closes once it is notified.
pub struct ClosableListener {
    listener: TcpListener,
    closing: Rc<Notify>,
    backlog: Backlog,
    is_closing: bool,
    /// When the backlog was last empty; `None` before the first accept.
    empty: Option<BacklogEmpty>,
}

/// An accepted connection.
pub struct Accepted {
    /// The connection.
    pub stream: TimestampedStream,
    /// The client's address.
    pub peer: SocketAddr,
}

impl ClosableListener {
    /// Creates a listener on a socket of its own, which closes once `closing` is notified.
    pub fn new(listener: TcpListener, closing: Rc<Notify>) -> Self {
        enable_timestamps(&listener);
        Self { listener, closing, backlog: Backlog::Accept, is_closing: false, empty: None }
    }

    /// Sets what happens to the connections in the backlog at the close.
    pub fn with_backlog(self, backlog: Backlog) -> Self {
        Self { backlog, ..self }
    }

    /// Accepts the next connection; `None` once the listener has closed.
    pub async fn accept(&mut self, clock: &Clock) -> Option<io::Result<Accepted>> {
        let mut empty = self.empty.unwrap_or_else(|| BacklogEmpty::at(moment(clock)));
        let accepted = {
            let mut accepting = pin!(self.accept_next());
            match accepting.as_mut().now_or_never() {
                Some(accepted) => accepted,
                None => {
                    empty.found = moment(clock);
                    let accepted = accepting.await;
                    empty.assumed_ms = clock.now();
                    accepted
                }
            }
        };
        self.empty = Some(empty);
        let accepted = accepted?;
        Some(accepted.map(|(stream, peer)| {
            let stream = TimestampedStream::new(stream, clock.clone(), empty);
            Accepted { stream, peer }
        }))
    }

    async fn accept_next(&mut self) -> Option<io::Result<(TcpStream, SocketAddr)>> {
        if !self.is_closing {
            tokio::select! {
                biased;
                () = self.closing.notified() => self.is_closing = true,
                accepted = self.listener.accept() => return Some(accepted),
            }
        }
        match self.backlog {
            Backlog::Accept => {
                timeout(duration_from_ms(BACKLOG_ACCEPT_MS), self.listener.accept()).await.ok()
            }
            Backlog::Leave => None,
        }
    }
}
