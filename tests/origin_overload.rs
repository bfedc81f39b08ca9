//! Overload of the origin after a purge: fills must leave it capacity for writes, which only it can serve.

mod common;
mod fleet_model;

use common::S;
use fleet_model::{Fleet, Report, Scenario};

/// Simulates two fleet sizes at the same total request rate, with and without cache status. After eight
/// seconds, half of the groups are purged and the origin becomes `slowdown` times slower.
fn run_scenarios(slowdown: u64) -> Vec<(Scenario, Report)> {
    let all = [(30, true), (30, false), (330, true), (330, false)];
    let scenario = |(fleet_size, reports_cache_status)| Scenario {
        fleet_size,
        locations: 30,
        rate: 1_200,
        write_every: 25,
        origin_rate: 500,
        slow_from: 8 * S,
        slowdown,
        duration: 16 * S,
        reports_cache_status,
        seed: 1,
    };
    all.into_iter().map(scenario).map(|scenario| (scenario, Fleet::simulate(scenario))).collect()
}

fn share(served: u32, total: u32) -> f64 {
    f64::from(served) / f64::from(total)
}

/// The model itself must make almost no response late: with the origin at full speed, a purge alone delays
/// hardly any.
#[test]
fn at_full_origin_speed_all_requests_are_served_in_time() {
    for (scenario, report) in run_scenarios(1) {
        assert_eq!(report.origin_failures, 0, "{scenario:?}");
        assert!(report.writes > 200 && report.reads > 5_000, "{scenario:?}: {report:?}");
        assert!(share(report.writes_in_time, report.writes) > 0.99, "{scenario:?}: {report:?}");
        assert!(share(report.reads_in_time, report.reads) > 0.99, "{scenario:?}: {report:?}");
    }
}

/// Fills must not take the capacity that writes need: 48 of the 167 requests per second that the slow origin
/// can serve.
#[test]
fn more_than_half_of_the_requests_are_served_in_time_while_the_origin_is_slow() {
    for (scenario, report) in run_scenarios(3) {
        assert_eq!(report.origin_failures, 0, "{scenario:?}: {report:?}");
        assert!(share(report.writes_in_time, report.writes) > 0.5, "{scenario:?}: {report:?}");
        assert!(share(report.reads_in_time, report.reads) > 0.5, "{scenario:?}: {report:?}");
    }
}
