//! Statistics and hashes that decide nothing: every constant and every choice made by them belongs to the caller.

mod aimd;
mod decay;
mod draws;
mod hash;
mod leaky_bucket;
mod mean_deviation;
mod recent_counts;

pub use aimd::Aimd;
pub use decay::{DecayingShare, DecayingSum};
pub use draws::SeededDraws;
pub use hash::{mix, rendezvous_first, rendezvous_order, unit};
pub use leaky_bucket::LeakyBucket;
pub use mean_deviation::MeanDeviation;
pub use recent_counts::RecentCounts;

#[cfg(test)]
mod tests;
