//! Measures the time of an admission decision and the memory of the fair queue by the number of distinct
//! clients: a queue at its concurrency limit gets requests from 1,000 to 100,000 clients, completed in order
//! of admission. Run with `cargo bench --bench admission`.

use edge_proxy::admission::bounds::AdmissionBounds;
use edge_proxy::admission::concurrency_limit::LimitSettings;
use edge_proxy::admission::decision::{AdmissionDecision, Arrival, Completion};
use edge_proxy::admission::fair_queue::FairQueue;
use edge_proxy::admission::round_robin::Weights;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::time::Instant;

const ARRIVALS: u64 = 400_000;

fn main() {
    let bounds = AdmissionBounds {
        max_queued: 2_048,
        max_queued_per_client: 16,
        max_queued_per_tenant: 512,
        max_queued_bytes: 8 << 20,
        max_reservations: 8_192,
        reservation_share: 0.25,
        light_client_share: 0.25,
        min_retry_after_ms: 100.0,
        max_retry_after_ms: 10_000.0,
        min_service_ms: 50.0,
    };
    let limit = LimitSettings { initial: 64.0, min: 64.0, max: 64.0, adaptive: false };
    println!("| distinct clients | completions per arrival | ns per arrival and completion | admitted | queued then admitted | rejected | max bytes held | calculated max bytes |");
    println!("| ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |");
    for (clients, skip_every) in
        [(1_000u64, 10), (10_000, 10), (100_000, 10), (1_000, 2), (10_000, 2), (100_000, 2)]
    {
        let mut queue =
            FairQueue::new(bounds, limit, Weights { default: 1.0, by_tenant: Default::default() });
        let mut rng = SmallRng::seed_from_u64(3);
        let mut in_flight = std::collections::VecDeque::new();
        let (mut now, mut max_bytes) = (1_000.0, 0usize);
        let start = Instant::now();
        for id in 0..ARRIVALS {
            now += 0.01;
            // One heavy client sends a quarter of the requests; the rest are spread over all clients.
            let client = if rng.random_range(0..4) == 0 { 0 } else { rng.random_range(1..=clients) };
            let arrival = Arrival {
                id,
                client: u128::from(client),
                tenant: (client % 64) as u32,
                deadline_ms: now + 2_000.0,
                body_bytes: 0,
            };
            match queue.submit(now, arrival) {
                AdmissionDecision::Admit => in_flight.push_back(id),
                AdmissionDecision::Queue | AdmissionDecision::Shed { .. } | AdmissionDecision::Duplicate => {}
            }
            // Fewer completions than arrivals keep the queue at its limit.
            if id % skip_every != 0 {
                if let Some(completed_id) = in_flight.pop_front() {
                    in_flight.extend(queue.complete(now, completed_id, Completion::Succeeded));
                }
            }
            if id % 4_096 == 0 {
                queue.expire(now);
                max_bytes = max_bytes.max(queue.heap_bytes());
            }
        }
        let ns = start.elapsed().as_nanos() as f64 / ARRIVALS as f64;
        let counters = queue.counters;
        let rejected_count: u64 = counters.shed.iter().sum();
        let completions_per_arrival = 1.0 - 1.0 / skip_every as f64;
        println!(
            "| {clients} | {completions_per_arrival:.1} | {ns:.0} | {} | {} | {rejected_count} | {max_bytes} | {} |",
            counters.admitted,
            counters.released,
            bounds.max_heap_bytes(64)
        );
    }
}
