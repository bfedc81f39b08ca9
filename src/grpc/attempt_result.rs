//! How an attempt ended for its call, and what an HTTP/2 error tells about it.

use super::call::LocalStatus;
use super::status::AttemptEnd;
use h2::Reason;
use http::HeaderMap;

/// How an attempt ended for its call.
pub enum AttemptResult {
    /// The backend or the connection ended it; with the backend's last headers, where it sent any.
    Ended(AttemptEnd, Option<HeaderMap>),
    /// The client disconnected.
    ClientDisconnected,
    /// The call cannot go on, for its client's or the proxy's own reasons.
    Aborted(LocalStatus),
}

impl AttemptResult {
    /// An end without headers of the backend.
    pub fn ended(end: AttemptEnd) -> Self {
        Self::Ended(end, None)
    }
}

/// What an HTTP/2 error tells about the attempt.
pub fn end_of(error: &h2::Error) -> AttemptEnd {
    if error.is_go_away() && error.is_remote() {
        // `h2` reports a GOAWAY only to streams above its last stream id, which the backend did not process.
        return AttemptEnd::Unprocessed;
    }
    match error.reason() {
        Some(Reason::REFUSED_STREAM) if error.is_remote() => AttemptEnd::Unprocessed,
        Some(reason) if error.is_reset() && error.is_remote() => AttemptEnd::Reset(reason.into()),
        Some(_) if !error.is_io() => AttemptEnd::Malformed,
        _ => AttemptEnd::ConnectionLost,
    }
}
