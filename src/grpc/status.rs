//! gRPC status codes; what HTTP statuses and HTTP/2 errors mean as one; and what the end of an attempt says to the
//! decision module and to the client. No I/O.
//!
//! The tables are those of "gRPC over HTTP/2" (errors), "HTTP to gRPC Status Code Mapping", and for what may be
//! tried again gRFC A6 (client retries): a call is committed once the response's headers went to its client, and
//! what a backend surely did not process may always be tried again.

use crate::interface::Idempotency;
use crate::AttemptOutcome;
use percent_encoding::{utf8_percent_encode, AsciiSet, CONTROLS};

/// A status code. What a peer sent beyond the named ones reads as [`Code::UNKNOWN`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Code(u8);

/// How many codes there are.
pub const CODES: usize = 17;

const NAMES: [&str; CODES] = [
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
    /// The code of a number, unknown ones as [`Code::UNKNOWN`].
    pub fn of(number: u64) -> Self {
        if number < CODES as u64 {
            Self(number as u8)
        } else {
            Self::UNKNOWN
        }
    }

    /// The code of a `grpc-status` header's value; none where it is no number in plain digits.
    pub fn parse(value: &[u8]) -> Option<Self> {
        let plain = !value.is_empty() && value.len() <= 10 && value.iter().all(u8::is_ascii_digit);
        plain.then(|| std::str::from_utf8(value).ok()?.parse().ok().map(Self::of))?
    }

    /// The code of a name, as configurations word it.
    pub fn named(name: &str) -> Option<Self> {
        NAMES.iter().position(|n| *n == name).map(|k| Self(k as u8))
    }

    /// Its name.
    pub fn name(self) -> &'static str {
        NAMES[usize::from(self.0)]
    }

    /// Its number.
    pub fn number(self) -> u8 {
        self.0
    }

    /// Whether it tells of the caller's own request or standing, and not of the backend's health.
    pub fn is_callers(self) -> bool {
        matches!(self.0, 1 | 3 | 5 | 6 | 7 | 9 | 10 | 11 | 12 | 16)
    }

    /// What an answer that is not gRPC means, by its HTTP status.
    pub fn of_http(status: u16) -> Self {
        match status {
            400 | 431 => Self::INTERNAL,
            401 => Self::UNAUTHENTICATED,
            403 => Self::PERMISSION_DENIED,
            404 => Self::UNIMPLEMENTED,
            429 | 502 | 503 | 504 => Self::UNAVAILABLE,
            _ => Self::UNKNOWN,
        }
    }

    /// What RST_STREAM means, by its error code (RFC 9113, section 7).
    pub fn of_reset(reason: u32) -> Self {
        match reason {
            0x7 => Self::UNAVAILABLE,
            0x8 => Self::CANCELLED,
            0xb => Self::RESOURCE_EXHAUSTED,
            0xc => Self::PERMISSION_DENIED,
            _ => Self::INTERNAL,
        }
    }
}

/// What a `grpc-message` may hold unescaped: printable ASCII but `%`.
const MESSAGE: &AsciiSet = &CONTROLS.add(b'%');

/// A text as `grpc-message` words it.
pub fn message(text: &str) -> String {
    utf8_percent_encode(text, MESSAGE).to_string()
}

/// What a server says of trying again (`grpc-retry-pushback-ms`, gRFC A6).
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Pushback {
    /// Not at all.
    Never,
    /// After this many milliseconds.
    After(f64),
}

impl Pushback {
    /// Reads the header's value; what is no number says never, as the gRFC asks.
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
    /// The backend ended the call with a status.
    Status(Code, Option<Pushback>),
    /// It answered something that is not gRPC, with this HTTP status.
    HttpStatus(u16),
    /// It reset the stream, with this error code, and may have processed it.
    Reset(u32),
    /// It surely did not process the stream: REFUSED_STREAM, or a GOAWAY that leaves it out.
    Unprocessed,
    /// No connection came up, or none had a place. `local` says that the fault is this machine's own.
    NoConnection {
        /// This proxy's own fault or bound.
        local: bool,
    },
    /// Never sent: its backend drained or its time was over while it waited.
    NotSent,
    /// The connection ended under it.
    ConnectionLost,
    /// The stream ended within a message, or without a status.
    Truncated,
    /// What came breaks the rules of messages.
    Malformed,
    /// No answer in time.
    TimedOut,
}

/// What an end says.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Classification {
    /// To the decision module. For a caller's own error this is [`AttemptOutcome::Cancelled`], which says nothing of the
    /// backend's health.
    pub outcome: AttemptOutcome,
    /// The status that a client would get of it.
    pub code: Code,
    /// Whether the module may be asked for another attempt; a committed call never gets one.
    pub again: bool,
}

/// Judges the end of an attempt. `committed` says that the client has the response's headers; `retry` are the
/// statuses after which a method that may be repeated is tried again.
pub fn classify(end: AttemptEnd, committed: bool, repeat: Idempotency, retry: &[Code]) -> Classification {
    let repeatable = repeat != Idempotency::NotIdempotent;
    let by_code = |code: Code| {
        let busy = code == Code::UNAVAILABLE || code == Code::RESOURCE_EXHAUSTED;
        match code {
            Code::OK => AttemptOutcome::Served,
            Code::DEADLINE_EXCEEDED => AttemptOutcome::TimedOut,
            // Whether it ran is not told: only where a repeat does no harm is it taken for not taken.
            _ if busy && !committed && repeat == Idempotency::Idempotent => AttemptOutcome::Rejected,
            code if code.is_callers() => AttemptOutcome::Cancelled,
            _ => AttemptOutcome::Error,
        }
    };
    let (outcome, code, again) = match end {
        AttemptEnd::Status(code, pushback) => {
            (by_code(code), code, repeatable && pushback.is_none() && retry.contains(&code))
        }
        AttemptEnd::HttpStatus(status) => {
            let code = Code::of_http(status);
            (AttemptOutcome::Error, code, repeatable && retry.contains(&code))
        }
        AttemptEnd::Reset(reason) => (AttemptOutcome::Error, Code::of_reset(reason), repeatable),
        AttemptEnd::Unprocessed => (AttemptOutcome::Rejected, Code::UNAVAILABLE, true),
        AttemptEnd::NoConnection { local: true } | AttemptEnd::NotSent => {
            (AttemptOutcome::NotSent, Code::UNAVAILABLE, true)
        }
        AttemptEnd::NoConnection { local: false } => (AttemptOutcome::NoConnection, Code::UNAVAILABLE, true),
        AttemptEnd::ConnectionLost => (AttemptOutcome::ConnectionLost, Code::UNAVAILABLE, repeatable),
        AttemptEnd::Truncated | AttemptEnd::Malformed => (AttemptOutcome::Error, Code::INTERNAL, repeatable),
        AttemptEnd::TimedOut => (AttemptOutcome::TimedOut, Code::DEADLINE_EXCEEDED, repeatable),
    };
    Classification { outcome, code, again: again && !committed }
}

#[cfg(test)]
mod tests;
