//! gRPC status codes, their mapping from HTTP statuses and HTTP/2 error codes, and the classification of
//! attempts for the policy and the client. No I/O.
//!
//! The mappings follow the section "Errors" of "gRPC over HTTP/2" and "HTTP to gRPC Status Code Mapping".
//! Retries follow gRFC A6: a call is committed once its response headers were sent to the client, and a
//! request that no backend processed may always be retried.

use crate::interface::Idempotency;
use crate::AttemptOutcome;
use percent_encoding::{utf8_percent_encode, AsciiSet, CONTROLS};

/// A status code. Undefined numbers are mapped to [`Code::UNKNOWN`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Code(u8);

/// The number of status codes.
pub const CODE_COUNT: usize = 17;

const NAMES: [&str; CODE_COUNT] = [
    "OK",
    "CANCELLED",
    "UNKNOWN",
    "INVALID_ARGUMENT",
    "DEADLINE_EXCEEDED",
    "NOT_FOUND",
    "ALREADY_EXISTS",
    "PERMISSION_DENIED",
    "RESOURCE_EXHAUSTED",
    "FAILED_PRECONDITION",
    "ABORTED",
    "OUT_OF_RANGE",
    "UNIMPLEMENTED",
    "INTERNAL",
    "UNAVAILABLE",
    "DATA_LOSS",
    "UNAUTHENTICATED",
];

#[allow(missing_docs)]
impl Code {
    pub const OK: Self = Self(0);
    pub const CANCELLED: Self = Self(1);
    pub const UNKNOWN: Self = Self(2);
    pub const INVALID_ARGUMENT: Self = Self(3);
    pub const DEADLINE_EXCEEDED: Self = Self(4);
    pub const PERMISSION_DENIED: Self = Self(7);
    pub const RESOURCE_EXHAUSTED: Self = Self(8);
    pub const UNIMPLEMENTED: Self = Self(12);
    pub const INTERNAL: Self = Self(13);
    pub const UNAVAILABLE: Self = Self(14);
    pub const DATA_LOSS: Self = Self(15);
    pub const UNAUTHENTICATED: Self = Self(16);
}

impl Code {
    /// Converts a number to a code.
    pub fn from_number(number: u64) -> Self {
        if number < CODE_COUNT as u64 {
            Self(number as u8)
        } else {
            Self::UNKNOWN
        }
    }

    /// Parses the value of a `grpc-status` header. Returns `None` unless it is 1 to 10 decimal digits.
    pub fn parse(value: &[u8]) -> Option<Self> {
        let is_number = !value.is_empty() && value.len() <= 10 && value.iter().all(u8::is_ascii_digit);
        is_number.then(|| std::str::from_utf8(value).ok()?.parse().ok().map(Self::from_number))?
    }

    /// Finds the code of a name, such as `UNAVAILABLE`.
    pub fn from_name(name: &str) -> Option<Self> {
        NAMES.iter().position(|n| *n == name).map(|k| Self(k as u8))
    }

    /// The code's name.
    pub fn name(self) -> &'static str {
        NAMES[usize::from(self.0)]
    }

    /// The code's number.
    pub fn number(self) -> u8 {
        self.0
    }

    /// Whether the status is caused by the client's request, so that it says nothing about the backend's
    /// health.
    pub fn is_client_error(self) -> bool {
        // CANCELLED, INVALID_ARGUMENT, NOT_FOUND, ALREADY_EXISTS, PERMISSION_DENIED, FAILED_PRECONDITION,
        // ABORTED, OUT_OF_RANGE, UNIMPLEMENTED, UNAUTHENTICATED.
        matches!(self.0, 1 | 3 | 5 | 6 | 7 | 9 | 10 | 11 | 12 | 16)
    }

    /// Whether the status means overload of the backend, or an exhausted quota.
    pub fn is_overload(self) -> bool {
        self == Self::UNAVAILABLE || self == Self::RESOURCE_EXHAUSTED
    }

    /// Maps the HTTP status of a response that is not gRPC.
    pub fn from_http_status(status: u16) -> Self {
        match status {
            400 | 431 => Self::INTERNAL,
            401 => Self::UNAUTHENTICATED,
            403 => Self::PERMISSION_DENIED,
            404 => Self::UNIMPLEMENTED,
            429 | 502 | 503 | 504 => Self::UNAVAILABLE,
            _ => Self::UNKNOWN,
        }
    }

    /// Maps the error code of an RST_STREAM frame (RFC 9113, section 7).
    pub fn from_reset(reason: u32) -> Self {
        match reason {
            0x7 => Self::UNAVAILABLE,        // REFUSED_STREAM
            0x8 => Self::CANCELLED,          // CANCEL
            0xb => Self::RESOURCE_EXHAUSTED, // ENHANCE_YOUR_CALM
            0xc => Self::PERMISSION_DENIED,  // INADEQUATE_SECURITY
            _ => Self::INTERNAL,
        }
    }
}

/// Characters that `grpc-message` must escape: all but printable ASCII, and `%`.
const MESSAGE_ESCAPES: &AsciiSet = &CONTROLS.add(b'%');

/// Percent-encodes a text for `grpc-message`.
pub fn encode_message(text: &str) -> String {
    utf8_percent_encode(text, MESSAGE_ESCAPES).to_string()
}

/// A server's retry pushback (`grpc-retry-pushback-ms`, gRFC A6).
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Pushback {
    /// The call must not be retried.
    Never,
    /// The call may be retried after this many milliseconds.
    After(f64),
}

impl Pushback {
    /// Parses the header value. A value that is not a number counts as [`Self::Never`], as gRFC A6 requires.
    pub fn parse(value: &[u8]) -> Self {
        let number = std::str::from_utf8(value).ok().and_then(|text| text.parse::<i64>().ok());
        match number {
            Some(ms) if ms >= 0 => Self::After(ms as f64),
            _ => Self::Never,
        }
    }
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptEnd {
    /// The backend sent a status.
    Status(Code, Option<Pushback>),
    /// The response was not gRPC; its HTTP status.
    HttpStatus(u16),
    /// The backend reset the stream with this HTTP/2 error code and may have processed the request.
    Reset(u32),
    /// The backend did not process the request: REFUSED_STREAM, or a GOAWAY that excludes the stream.
    Unprocessed,
    /// No connection was established, or none had capacity.
    NoConnection {
        /// Whether the cause is local, such as a connection limit, and not the backend.
        local: bool,
    },
    /// The attempt was not sent, because its backend began to drain, its time was over or the connection
    /// accepted no more streams.
    NotSent,
    /// The connection was lost.
    ConnectionLost,
    /// The response ended within a message or without a status.
    Truncated,
    /// The response violates HTTP/2 or the message framing.
    Malformed,
    /// The attempt timed out, or the call's deadline passed.
    TimedOut,
}

/// The classification of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Classification {
    /// The outcome for the policy. Errors caused by the client are [`AttemptOutcome::Cancelled`], which does
    /// not affect the backend's health.
    pub outcome: AttemptOutcome,
    /// The status code for the client, if the call ends.
    pub code: Code,
    /// Whether the call may be retried; never after it was committed.
    pub retryable: bool,
}

/// Classifies the end of an attempt. `committed` means that the response headers were sent to the client;
/// `retry` holds the status codes after which an idempotent method is retried.
pub fn classify(
    end: AttemptEnd,
    committed: bool,
    idempotency: Idempotency,
    retry: &[Code],
) -> Classification {
    let repeatable = idempotency != Idempotency::NotIdempotent;
    let by_code = |code: Code| {
        match code {
            Code::OK => AttemptOutcome::Served,
            Code::DEADLINE_EXCEEDED => AttemptOutcome::TimedOut,
            // The status does not tell whether the request was processed, so only idempotent calls count as
            // rejected.
            _ if code.is_overload() && !committed && idempotency == Idempotency::Idempotent => {
                AttemptOutcome::Rejected
            }
            code if code.is_client_error() => AttemptOutcome::Cancelled,
            _ => AttemptOutcome::Error,
        }
    };
    let (outcome, code, retryable) = match end {
        AttemptEnd::Status(code, pushback) => {
            (by_code(code), code, repeatable && pushback.is_none() && retry.contains(&code))
        }
        AttemptEnd::HttpStatus(status) => {
            let code = Code::from_http_status(status);
            (AttemptOutcome::Error, code, repeatable && retry.contains(&code))
        }
        AttemptEnd::Reset(reason) => (AttemptOutcome::Error, Code::from_reset(reason), repeatable),
        AttemptEnd::Unprocessed => (AttemptOutcome::Rejected, Code::UNAVAILABLE, true),
        AttemptEnd::NoConnection { local: true } | AttemptEnd::NotSent => {
            (AttemptOutcome::NotSent, Code::UNAVAILABLE, true)
        }
        AttemptEnd::NoConnection { local: false } => (AttemptOutcome::NoConnection, Code::UNAVAILABLE, true),
        AttemptEnd::ConnectionLost => (AttemptOutcome::ConnectionLost, Code::UNAVAILABLE, repeatable),
        AttemptEnd::Truncated | AttemptEnd::Malformed => (AttemptOutcome::Error, Code::INTERNAL, repeatable),
        AttemptEnd::TimedOut => (AttemptOutcome::TimedOut, Code::DEADLINE_EXCEEDED, repeatable),
    };
    Classification { outcome, code, retryable: retryable && !committed }
}

#[cfg(test)]
mod tests;
