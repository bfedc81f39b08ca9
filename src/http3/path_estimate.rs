//! Estimates the network path to a client from the transport's statistics, and from it the time by which a
//! response must be sent to meet the client's deadline. No I/O.

/// Statistics of the transport at one point in time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PathSample {
    /// Smoothed round-trip time, in milliseconds.
    pub rtt_ms: f64,
    /// Packets sent on the connection so far.
    pub sent_packets: u64,
    /// Packets declared lost on the connection so far.
    pub lost_packets: u64,
    /// Congestion window, in bytes.
    pub window_bytes: u64,
}

/// Minimum number of sent packets before a loss rate is computed.
const MIN_SENT_PACKETS: u64 = 20;
/// Weight of a new sample in the moving average of the RTT deviation, as in RFC 9002.
const DEVIATION_GAIN: f64 = 0.25;
/// Multiple of the RTT deviation that is added to the delivery time.
const DEVIATION_FACTOR: f64 = 2.0;
/// Loss rate at or above which one round trip is added to the delivery time, for a retransmission.
const LOSS_RATE_THRESHOLD: f64 = 0.01;
/// Maximum number of congestion windows beyond the first that the delivery time accounts for.
const MAX_ADDITIONAL_WINDOWS: f64 = 64.0;
/// Maximum share of a request's remaining time that is reserved for delivering the response.
const MAX_DELIVERY_SHARE: f64 = 0.5;

/// Estimate of the network path to one client.
#[derive(Clone, Copy, Debug, Default)]
pub struct PathEstimate {
    rtt_ms: f64,
    deviation_ms: f64,
    loss_rate: f64,
    window_bytes: u64,
    samples: u64,
}

impl PathEstimate {
    /// Updates the estimate with a sample.
    pub fn update(&mut self, sample: PathSample) {
        if self.samples == 0 {
            self.deviation_ms = sample.rtt_ms / 2.0;
        } else {
            let difference_ms = (sample.rtt_ms - self.rtt_ms).abs();
            self.deviation_ms += DEVIATION_GAIN * (difference_ms - self.deviation_ms);
        }
        self.samples += 1;
        (self.rtt_ms, self.window_bytes) = (sample.rtt_ms, sample.window_bytes);
        if sample.sent_packets >= MIN_SENT_PACKETS {
            self.loss_rate = sample.lost_packets as f64 / sample.sent_packets as f64;
        }
    }

    /// Fraction of packets that were lost.
    pub fn loss_rate(&self) -> f64 {
        self.loss_rate
    }

    /// Smoothed round-trip time, in milliseconds.
    pub fn rtt_ms(&self) -> f64 {
        self.rtt_ms
    }

    /// Estimated time to deliver a response of `bytes` to the client, in milliseconds: half a round trip plus
    /// a margin for jitter, a round trip for each congestion window after the first, and one for a
    /// retransmission if the loss rate is at or above `LOSS_RATE_THRESHOLD`.
    pub fn delivery_ms(&self, bytes: f64) -> f64 {
        if self.samples == 0 {
            return 0.0;
        }
        let additional_windows = (bytes / self.window_bytes.max(1) as f64).max(1.0) - 1.0;
        let retransmission_ms = if self.loss_rate >= LOSS_RATE_THRESHOLD { self.rtt_ms } else { 0.0 };
        self.rtt_ms / 2.0
            + DEVIATION_FACTOR * self.deviation_ms
            + additional_windows.min(MAX_ADDITIONAL_WINDOWS) * self.rtt_ms
            + retransmission_ms
    }

    /// Latest time to send a response of `bytes` so that it arrives by `deadline_ms`. At least half of the
    /// remaining time is left for serving the request, even if delivery is estimated to take longer.
    pub fn send_deadline_ms(&self, now: f64, deadline_ms: f64, bytes: f64) -> f64 {
        let remaining_ms = (deadline_ms - now).max(0.0);
        deadline_ms - self.delivery_ms(bytes).min(MAX_DELIVERY_SHARE * remaining_ms)
    }
}

#[cfg(test)]
mod tests;
