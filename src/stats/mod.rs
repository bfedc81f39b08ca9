//! Statistics and hashes of the decision module. All parameters are passed by the caller.

mod decay;
mod draws;
mod hash;
mod leaky_bucket;
mod mean_deviation;
mod recent_counts;
mod timed_share;

pub use decay::{DecayingOutcomes, DecayingSum};
pub use draws::SeededRandom;
pub use hash::{mix, rendezvous_first, rendezvous_order, unit_hash};
pub use leaky_bucket::LeakyBucket;
pub use mean_deviation::MeanDeviation;
pub use recent_counts::RecentCounts;
pub use timed_share::{AdaptiveShare, ShareRates};

#[cfg(test)]
mod tests;
