//! The result of an attempt, and its derivation from HTTP/2 errors.

use super::call::LocalStatus;
use super::status::AttemptEnd;
use h2::Reason;
use http::HeaderMap;

/// The result of an attempt, for the call driver.
pub enum AttemptResult {
    /// The attempt ended; the call table decides whether the call is retried. Holds the trailers, or the
    /// headers of a "Trailers-Only" response, if they carried a status.
    Ended(AttemptEnd, Option<HeaderMap>),
    /// The client disconnected.
    ClientDisconnected,
    /// The call must end with this status, because of its client's request or a shutdown of the proxy.
    Aborted(LocalStatus),
}

impl AttemptResult {
    /// An attempt that ended without a status to forward.
    pub fn ended_without_status(end: AttemptEnd) -> Self {
        Self::Ended(end, None)
    }
}

/// Maps an HTTP/2 error to the end of the attempt.
pub fn attempt_end_from_error(error: &h2::Error) -> AttemptEnd {
    if error.is_go_away() && error.is_remote() {
        // `h2` reports a GOAWAY only to streams above its last stream id; the backend did not process them.
        return AttemptEnd::Unprocessed;
    }
    match error.reason() {
        Some(Reason::REFUSED_STREAM) if error.is_remote() => AttemptEnd::Unprocessed,
        Some(reason) if error.is_reset() && error.is_remote() => AttemptEnd::Reset(reason.into()),
        Some(_) if !error.is_io() => AttemptEnd::Malformed,
        _ => AttemptEnd::ConnectionLost,
    }
}
