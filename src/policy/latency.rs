//! Latency estimates of request classes, and the timeouts derived from them.

use crate::interface::*;
use crate::stats::{DecayingOutcomes, MeanDeviation};

/// Assumed time to the first byte of a fill including round trips, in microseconds.
const FIRST_BYTE_TIME: f64 = 100_000.0;
/// Assumed time of a hit without its transfer, in microseconds; also the minimum transfer time of a response
/// of unknown size.
pub(super) const HIT_OVERHEAD: f64 = 20_000.0;
/// Weight of a new sample in a class's moving estimates.
const LATENCY_GAIN: f64 = 0.02;
/// Assumed latency of an attempt that timed out, as a multiple of its timeout.
const TIMED_OUT_MULTIPLE: f64 = 1.5;
/// Deviations above the mean at which an attempt times out, as in TCP's retransmission timer (RFC 6298).
const TIMEOUT_DEVIATIONS: f64 = 4.0;
/// Initial mean of a class's latency, as a fraction of its objective.
const INITIAL_MEAN_FRACTION: f64 = 0.5;
/// Initial deviation of a class's latency, as a fraction of its objective.
const INITIAL_DEVIATION_FRACTION: f64 = 0.25;

/// The latency estimate of a request class.
#[derive(Clone, Copy)]
pub(super) struct LatencyEstimate {
    /// Latency of attempts as a multiple of the latency expected from their transfer time.
    relative_latency: MeanDeviation,
    /// Mean transfer time, in microseconds.
    pub(super) transfer_time: f64,
    /// Responses within the latency objective and late ones, over all endpoints.
    pub(super) timeliness: DecayingOutcomes,
}

impl LatencyEstimate {
    /// The initial estimate of a class.
    pub(super) fn initial(class: &RequestClass) -> Self {
        let latency_objective = class.latency_objective as f64;
        let mean = INITIAL_MEAN_FRACTION * latency_objective / FIRST_BYTE_TIME;
        let deviation = INITIAL_DEVIATION_FRACTION * latency_objective / FIRST_BYTE_TIME;
        Self {
            relative_latency: MeanDeviation::new(mean, deviation),
            transfer_time: INITIAL_MEAN_FRACTION * latency_objective,
            timeliness: DecayingOutcomes::default(),
        }
    }

    /// Adds the latency of an attempt that was served or timed out; `transfer_time` is 0 if unknown. Times
    /// are in microseconds. A timeout counts as [`TIMED_OUT_MULTIPLE`] times its duration; without it,
    /// timeouts would shrink until they cut off large responses.
    pub(super) fn add(&mut self, outcome: AttemptOutcome, transfer_time: f64, elapsed: f64) {
        let timed_out = outcome == AttemptOutcome::TimedOut;
        let elapsed = if timed_out { elapsed * TIMED_OUT_MULTIPLE } else { elapsed };
        self.relative_latency.add(elapsed / (FIRST_BYTE_TIME + transfer_time), LATENCY_GAIN);
        if outcome == AttemptOutcome::Served {
            let observed = (elapsed - HIT_OVERHEAD).max(HIT_OVERHEAD);
            let sample = if transfer_time > 0.0 { transfer_time } else { observed };
            self.transfer_time += LATENCY_GAIN * (sample - self.transfer_time);
        }
    }

    /// The timeout of an attempt with this transfer time, in microseconds.
    pub(super) fn timeout(&self, transfer_time: f64) -> f64 {
        (FIRST_BYTE_TIME + transfer_time) * self.relative_latency.mean_plus_deviations(TIMEOUT_DEVIATIONS)
    }
}
