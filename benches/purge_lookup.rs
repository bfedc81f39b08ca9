//! Measures the time of a purge lookup and the memory of the index by the number of active purges: 100 to
//! 100,000 purges with tag, object, pattern and group selectors. Run with `cargo bench --bench purge_lookup`.

use edge_proxy::purge::active_purges::{ActivePurges, Purge, RetentionLimits};
use edge_proxy::purge::selector::{copy_name, CachedCopy, Selector};
use edge_proxy::surrogate_key::SurrogateKey;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::hint::black_box;
use std::time::Instant;

/// Lookups timed for each number of purges.
const LOOKUPS: usize = 400_000;
const CLASSES: [&str; 3] = ["video-part", "small-object", "ad-post"];

fn selector(rng: &mut SmallRng) -> Selector {
    let text = match rng.random_range(0..10) {
        0..=3 => format!("tag:seller-{}", rng.random_range(0..1_000_000u32)),
        4..=6 => format!("object:{:016x}", rng.random::<u64>()),
        7..=8 => {
            let class = CLASSES[rng.random_range(0..3usize)];
            format!("pattern:/{class}/{:06x}*/**", rng.random_range(0..0xffffffu32))
        }
        _ => format!("group:{}", rng.random_range(0..256u32)),
    };
    text.parse().expect("the selector is valid")
}

fn main() {
    println!("| purges | ns per lookup | bytes | bytes per purge | share covered |");
    println!("| ---: | ---: | ---: | ---: | ---: |");
    for purges in [100usize, 1_000, 10_000, 100_000] {
        let mut rng = SmallRng::seed_from_u64(7);
        let mut active =
            ActivePurges::new(RetentionLimits { max_active: 1_000_000, min_retention_ms: 6_000.0 });
        for seq in 1..=purges as u64 {
            active.apply(&Purge { seq, issued_ms: seq as f64, selector: selector(&mut rng) });
        }
        let copies: Vec<(String, u64, u32, Vec<SurrogateKey>)> = (0..4_096)
            .map(|_| {
                let object = rng.random::<u64>();
                let class = CLASSES[rng.random_range(0..3usize)];
                let key = |rng: &mut SmallRng| {
                    SurrogateKey::new(&format!("seller-{}", rng.random_range(0..1_000_000u32)))
                };
                let keys = vec![key(&mut rng).unwrap(), key(&mut rng).unwrap()];
                (copy_name(class, object, rng.random_range(0..20)), object, rng.random_range(0..256), keys)
            })
            .collect();
        let mut covered = 0usize;
        let start = Instant::now();
        for index in 0..LOOKUPS {
            let (name, object, group, surrogate_keys) = &copies[index % copies.len()];
            let copy = CachedCopy { name, object: *object, group: *group, surrogate_keys };
            covered += usize::from(black_box(active.newest_covering(black_box(&copy))).is_some());
        }
        let ns = start.elapsed().as_nanos() as f64 / LOOKUPS as f64;
        let bytes = active.heap_bytes();
        let share = covered as f64 / LOOKUPS as f64;
        println!("| {purges} | {ns:.0} | {bytes} | {:.0} | {share:.3} |", bytes as f64 / purges as f64);
    }
}
