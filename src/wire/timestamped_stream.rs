//! A client's TCP connection that tells when its bytes arrived, by the kernel's receive timestamps
//! (`SO_TIMESTAMPNS`, socket(7)), which count from the network and not from the read.

use crate::clock::Clock;
use crate::state::arrivals::{Arrivals, BacklogEmpty, Moment};
use nix::cmsg_space;
use nix::sys::socket::{recvmsg, setsockopt, sockopt, ControlMessageOwned, MsgFlags};
use nix::sys::time::TimeSpec;
use std::cell::Cell;
use std::io::{self, ErrorKind, IoSlice, IoSliceMut};
use std::os::fd::{AsFd, AsRawFd};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;

/// Requests timestamps for the bytes of all connections that a listener accepts. Without them, arrivals are
/// estimated.
pub fn enable_timestamps(listener: &impl AsFd) {
    if let Err(error) = setsockopt(listener, sockopt::ReceiveTimestampns, &true) {
        tracing::warn!(%error, "no receive timestamps: a request's arrival is estimated");
    }
}

/// The present moment.
pub fn moment(clock: &Clock) -> Moment {
    Moment { clock_ms: clock.now(), monotonic: Instant::now() }
}

/// A client's connection with the arrival times of its bytes.
#[derive(Debug)]
pub struct TimestampedStream {
    stream: TcpStream,
    clock: Clock,
    arrivals: Arrivals,
    /// When the oldest bytes arrived that were read since this was last reset; infinite if none were.
    earliest_arrival_ms: Rc<Cell<f64>>,
}

/// Bytes received at once.
struct Received {
    length: usize,
    /// When the last of them arrived, in Unix milliseconds of the wall clock.
    kernel_ms: Option<f64>,
}

impl TimestampedStream {
    /// A connection that a listener with this backlog has accepted.
    pub fn new(stream: TcpStream, clock: Clock, backlog: BacklogEmpty) -> Self {
        let earliest_arrival_ms = Rc::new(Cell::new(f64::INFINITY));
        Self { stream, clock, arrivals: Arrivals::new(backlog), earliest_arrival_ms }
    }

    /// When the oldest bytes arrived that were read since the caller last set this to infinity, in Unix
    /// milliseconds. For protocols that interleave requests.
    pub fn earliest_arrival_ms(&self) -> Rc<Cell<f64>> {
        self.earliest_arrival_ms.clone()
    }

    /// Sets `TCP_NODELAY`.
    pub fn set_nodelay(&self) {
        let _ = self.stream.set_nodelay(true);
    }

    /// See [`Arrivals::of_request`].
    pub fn arrival_of_request(&mut self, unread: usize) -> Option<f64> {
        self.arrivals.of_request(unread)
    }

    /// Reads what has arrived, and records when.
    fn receive(&mut self, bytes: &mut [u8]) -> io::Result<usize> {
        let received = match self.arrivals.is_new() {
            // The runtime doesn't know the state of a new socket yet.
            true => receive(&self.stream, bytes),
            false => self.stream.try_io(Interest::READABLE, || receive(&self.stream, bytes)),
        };
        let now = moment(&self.clock);
        match received {
            Ok(Received { length, kernel_ms }) => {
                let kernel_ms = kernel_ms.filter(|_| self.clock.follows_system_time());
                let arrived_ms = self.arrivals.record(now, length, kernel_ms);
                self.earliest_arrival_ms.set(self.earliest_arrival_ms.get().min(arrived_ms));
                Ok(length)
            }
            Err(error) => {
                if error.kind() == ErrorKind::WouldBlock {
                    self.arrivals.found_empty(now);
                }
                Err(error)
            }
        }
    }
}

fn receive(stream: &TcpStream, bytes: &mut [u8]) -> io::Result<Received> {
    let mut slices = [IoSliceMut::new(bytes)];
    let mut control = cmsg_space!(TimeSpec);
    let message = recvmsg::<()>(stream.as_raw_fd(), &mut slices, Some(&mut control), MsgFlags::MSG_DONTWAIT)?;
    let timestamp = message.cmsgs().ok().and_then(|mut messages| {
        messages.find_map(|message| match message {
            ControlMessageOwned::ScmTimestampns(time) => Some(Duration::from(time)),
            _ => None,
        })
    });
    Ok(Received { length: message.bytes, kernel_ms: timestamp.map(|time| time.as_secs_f64() * 1_000.0) })
}

impl AsyncRead for TimestampedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            if !self.arrivals.is_new() {
                ready!(self.stream.poll_read_ready(context))?;
            }
            let is_new = self.arrivals.is_new();
            match self.receive(buffer.initialize_unfilled()) {
                Ok(length) => {
                    buffer.advance(length);
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                // Registers for the next bytes, or tries again if they have come.
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    if is_new {
                        ready!(self.stream.poll_read_ready(context))?;
                    }
                }
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl AsyncWrite for TimestampedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
