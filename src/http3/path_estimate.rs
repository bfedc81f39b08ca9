//! What a link is like, from what its transport measures, and how much earlier than on a good link an answer must be
//! on its way to be there in time. No I/O.

/// What the transport tells of a path now.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Sample {
    /// The smoothed round trip, in milliseconds.
    pub rtt_ms: f64,
    /// Packets sent and lost since the connection began.
    pub sent: u64,
    /// See `sent`.
    pub lost: u64,
    /// Bytes that may be under way at once.
    pub window: u64,
}

/// Packets of which a share of losses says something.
const MIN_PACKETS: u64 = 20;
/// Weight of a new sample in the round trip's deviation, as in RFC 9002.
const DEVIATION_GAIN: f64 = 0.25;
/// Share of lost packets from which on a further round trip is allowed for, since the last packet may be among them.
const LOSSY: f64 = 0.01;
/// The most of a request's patience that the way back may take: beyond that it is better to try.
const MAX_SHARE: f64 = 0.5;

/// A link.
#[derive(Clone, Copy, Debug, Default)]
pub struct Link {
    rtt_ms: f64,
    deviation_ms: f64,
    loss: f64,
    window: u64,
    samples: u64,
}

impl Link {
    /// Takes what the transport tells now.
    pub fn sample(&mut self, sample: Sample) {
        if self.samples == 0 {
            self.deviation_ms = sample.rtt_ms / 2.0;
        } else {
            let off = (sample.rtt_ms - self.rtt_ms).abs();
            self.deviation_ms += DEVIATION_GAIN * (off - self.deviation_ms);
        }
        self.samples += 1;
        (self.rtt_ms, self.window) = (sample.rtt_ms, sample.window);
        if sample.sent >= MIN_PACKETS {
            self.loss = sample.lost as f64 / sample.sent as f64;
        }
    }

    /// The share of packets that was lost.
    pub fn loss(&self) -> f64 {
        self.loss
    }

    /// The round trip, in milliseconds.
    pub fn rtt_ms(&self) -> f64 {
        self.rtt_ms
    }

    /// How long an answer of so many bytes takes to its client, in milliseconds: half a round trip and its deviation,
    /// a round trip for each further window of bytes, and one more where packets get lost.
    pub fn back_ms(&self, bytes: f64) -> f64 {
        if self.samples == 0 {
            return 0.0;
        }
        let windows = (bytes / self.window.max(1) as f64).max(1.0) - 1.0;
        let again = if self.loss >= LOSSY { self.rtt_ms } else { 0.0 };
        self.rtt_ms / 2.0 + 2.0 * self.deviation_ms + windows.min(64.0) * self.rtt_ms + again
    }

    /// When the answer to a request must be on its way, in place of `give_up_ms`, which allows for the way back over a
    /// good link: never later, and never so early that less than half of the request's time is left for it.
    pub fn give_up_ms(&self, now: f64, give_up_ms: f64, bytes: f64) -> f64 {
        let patience = (give_up_ms - now).max(0.0);
        give_up_ms - self.back_ms(bytes).min(MAX_SHARE * patience)
    }
}

#[cfg(test)]
mod tests;
