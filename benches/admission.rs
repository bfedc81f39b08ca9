//! What the door's decision costs, and what it holds, against the number of distinct clients: a door at its
//! limit takes a stream of arrivals from 1,000 to 100,000 clients, each ended in turn. Run with
//! `cargo bench --bench admission`.

use edge_proxy::admission::fair::{AdmissionBounds, Arrival, Ending, FairQueue, Limit, Verdict};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::time::Instant;

const ARRIVALS: u64 = 400_000;

fn main() {
    let bounds = AdmissionBounds {
        queue_most: 2_048,
        per_client_most: 16,
        per_tenant_most: 512,
        bytes_most: 8 << 20,
        tickets_most: 8_192,
        ticket_share: 0.25,
        reserve_share: 0.25,
        come_back_least_ms: 100.0,
        come_back_most_ms: 10_000.0,
        least_service_ms: 50.0,
    };
    let limit = Limit { first: 64.0, least: 64.0, most: 64.0, adaptive: false };
    println!("| distinct clients | ends per arrival | ns per arrival and end | admitted | queued then admitted | refused | most bytes held | stated bound |");
    println!("| ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |");
    for (clients, every) in
        [(1_000u64, 10), (10_000, 10), (100_000, 10), (1_000, 2), (10_000, 2), (100_000, 2)]
    {
        let mut door = FairQueue::new(bounds, limit, 1.0, Default::default());
        let mut rng = SmallRng::seed_from_u64(3);
        let mut open = std::collections::VecDeque::new();
        let (mut now, mut most) = (1_000.0, 0usize);
        let start = Instant::now();
        for id in 0..ARRIVALS {
            now += 0.01;
            // A quarter of the arrivals come from one heavy client; the rest spread over all.
            let client = if rng.random_range(0..4) == 0 { 0 } else { rng.random_range(1..=clients) };
            let arrival = Arrival {
                id,
                client: u128::from(client),
                tenant: (client % 64) as u32,
                give_up_ms: now + 2_000.0,
                bytes: 0,
            };
            match door.arrive(now, arrival) {
                Verdict::Admit => open.push_back(id),
                Verdict::Queue | Verdict::Refuse { .. } | Verdict::Duplicate => {}
            }
            // The fleet ends one request for every arrival but a tenth (or a half): the door stays at its limit.
            if id % every != 0 {
                if let Some(done) = open.pop_front() {
                    open.extend(door.ended(now, done, Ending::Answered));
                }
            }
            if id % 4_096 == 0 {
                door.expired(now);
                most = most.max(door.heap_bytes());
            }
        }
        let ns = start.elapsed().as_nanos() as f64 / ARRIVALS as f64;
        let f = door.figures;
        let refused: u64 = f.refused.iter().sum();
        let ends = 1.0 - 1.0 / every as f64;
        println!(
            "| {clients} | {ends:.1} | {ns:.0} | {} | {} | {refused} | {most} | {} |",
            f.admitted,
            f.released,
            bounds.bytes_bound(64)
        );
    }
}
