//! Estimates the network path to a client from the transport's measurements, and how much earlier than on a good path a
//! response must be sent to arrive in time. No I/O.

/// Measurements of the transport.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PathSample {
    /// Smoothed round-trip time, in milliseconds.
    pub rtt_ms: f64,
    /// Packets sent since the connection began.
    pub sent_packets: u64,
    /// Packets lost since the connection began.
    pub lost_packets: u64,
    /// Congestion window, in bytes.
    pub window_bytes: u64,
}

/// Least number of packets from which a loss rate is computed.
const MIN_PACKETS: u64 = 20;
/// Weight of a new sample in the deviation of the round-trip time, as in RFC 9002.
const DEVIATION_GAIN: f64 = 0.25;
/// Deviations of the round-trip time that are allowed for.
const DEVIATIONS: f64 = 2.0;
/// Loss rate from which one more round trip is allowed for, because the last packet may be lost.
const LOSSY_RATE: f64 = 0.01;
/// Most windows of bytes beyond the first that are allowed for.
const MAX_FURTHER_WINDOWS: f64 = 64.0;
/// Largest share of a request's remaining time that is reserved for the delivery of its response.
const MAX_DELIVERY_SHARE: f64 = 0.5;

/// Estimate of one path.
#[derive(Clone, Copy, Debug, Default)]
pub struct PathEstimate {
    rtt_ms: f64,
    deviation_ms: f64,
    loss_rate: f64,
    window_bytes: u64,
    samples: u64,
}

impl PathEstimate {
    /// Applies a sample.
    pub fn update(&mut self, sample: PathSample) {
        if self.samples == 0 {
            self.deviation_ms = sample.rtt_ms / 2.0;
        } else {
            let difference_ms = (sample.rtt_ms - self.rtt_ms).abs();
            self.deviation_ms += DEVIATION_GAIN * (difference_ms - self.deviation_ms);
        }
        self.samples += 1;
        (self.rtt_ms, self.window_bytes) = (sample.rtt_ms, sample.window_bytes);
        if sample.sent_packets >= MIN_PACKETS {
            self.loss_rate = sample.lost_packets as f64 / sample.sent_packets as f64;
        }
    }

    /// Share of packets that were lost.
    pub fn loss_rate(&self) -> f64 {
        self.loss_rate
    }

    /// Smoothed round-trip time, in milliseconds.
    pub fn rtt_ms(&self) -> f64 {
        self.rtt_ms
    }

    /// Time until a response of `bytes` has arrived at the client, in milliseconds: half a round trip and its deviation,
    /// a round trip for each further window of bytes, and one more if packets are lost.
    pub fn delivery_ms(&self, bytes: f64) -> f64 {
        if self.samples == 0 {
            return 0.0;
        }
        let further_windows = (bytes / self.window_bytes.max(1) as f64).max(1.0) - 1.0;
        let retransmission_ms = if self.loss_rate >= LOSSY_RATE { self.rtt_ms } else { 0.0 };
        self.rtt_ms / 2.0
            + DEVIATIONS * self.deviation_ms
            + further_windows.min(MAX_FURTHER_WINDOWS) * self.rtt_ms
            + retransmission_ms
    }

    /// When the response of `bytes` to a request must be sent. `deadline_ms` is the time for a good path, which is never
    /// exceeded; at least half of the remaining time is left for the request.
    pub fn send_deadline_ms(&self, now: f64, deadline_ms: f64, bytes: f64) -> f64 {
        let remaining_ms = (deadline_ms - now).max(0.0);
        deadline_ms - self.delivery_ms(bytes).min(MAX_DELIVERY_SHARE * remaining_ms)
    }
}

#[cfg(test)]
mod tests;
