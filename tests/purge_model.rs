//! Property test of the active purges against a model that searches a list linearly. The random steps have a
//! fixed seed.

use edge_proxy::purge::active_purges::{ActivePurges, ApplyOutcome, Purge, RetentionLimits};
use edge_proxy::purge::selector::{copy_name, CachedCopy, Selector};
use edge_proxy::surrogate_key::SurrogateKey;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const PATTERNS: [&str; 6] =
    ["/a/**", "/b/*/1", "/*/000000000000000?/*", "/a/0000000000000002/0", "/b/00*", "/*/*/2"];

#[derive(Clone, Debug)]
enum Step {
    Purge(u8, u8),
    AdvanceLowWaterMark(u8),
    Lookup { is_class_a: bool, object: u8, part: u8, group: u8, keys: u8, age: u8 },
    Wait(u16),
}

fn selector(kind: u8, value: u8) -> Selector {
    let text = match kind % 5 {
        0 => format!("object:{:016x}", value % 4),
        1 => format!("group:{}", value % 3),
        2 => format!("tag:t{}", value % 4),
        3 => format!("pattern:{}", PATTERNS[value as usize % PATTERNS.len()]),
        _ => "everything".into(),
    };
    text.parse().unwrap()
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (any::<u8>(), any::<u8>()).prop_map(|(k, v)| Step::Purge(k, v)),
        1 => any::<u8>().prop_map(Step::AdvanceLowWaterMark),
        6 => (any::<bool>(), 0u8..4, 0u8..3, 0u8..3, 0u8..16, any::<u8>())
            .prop_map(|(is_class_a, object, part, group, keys, age)|
                Step::Lookup { is_class_a, object, part, group, keys, age }),
        2 => (1u16..400).prop_map(Step::Wait),
    ]
}

/// The model: the active purges in order, and the cutoff: the newest merged purge or purge of everything.
#[derive(Default)]
struct Model {
    purges: Vec<Purge>,
    cutoff: Option<(u64, f64)>,
    low_water_mark: u64,
}

impl Model {
    fn newest(&self, copy: &CachedCopy<'_>) -> Option<f64> {
        let active = self.purges.iter().filter(|p| p.selector.covers(copy)).map(|p| p.issued_ms);
        active.chain(self.cutoff.map(|cutoff| cutoff.1)).max_by(f64::total_cmp)
    }
}

#[test]
fn active_purges_match_a_linear_search_model() {
    let config = Config { cases: 200, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let steps = proptest::collection::vec(step(), 1..120);
    runner
        .run(&steps, |steps| {
            let limits = RetentionLimits { max_active: 6, min_retention_ms: 300.0 };
            let (mut active, mut model) = (ActivePurges::new(limits), Model::default());
            let (mut now, mut seq) = (1_000.0, 0u64);
            for step in steps {
                match step {
                    Step::Purge(kind, value) => {
                        seq += 1;
                        let purge = Purge { seq, issued_ms: now, selector: selector(kind, value) };
                        prop_assert_eq!(active.apply(&purge), ApplyOutcome::Applied);
                        prop_assert_eq!(active.apply(&purge), ApplyOutcome::Duplicate);
                        if let Selector::Everything = purge.selector {
                            model.cutoff = Some(model.cutoff.map_or((seq, now), |cutoff| {
                                if now > cutoff.1 {
                                    (seq, now)
                                } else {
                                    cutoff
                                }
                            }));
                        }
                        model.purges.push(purge);
                        if model.purges.len() > limits.max_active {
                            let oldest = model.purges.remove(0);
                            let is_newer = model.cutoff.is_none_or(|cutoff| oldest.issued_ms > cutoff.1);
                            model.cutoff =
                                if is_newer { Some((oldest.seq, oldest.issued_ms)) } else { model.cutoff };
                        }
                    }
                    Step::AdvanceLowWaterMark(lag) => {
                        let through = seq.saturating_sub(u64::from(lag % 4));
                        active.advance_low_water_mark(through, now);
                        model.low_water_mark = model.low_water_mark.max(through);
                        let (low_water_mark, retention) = (model.low_water_mark, limits.min_retention_ms);
                        while model
                            .purges
                            .first()
                            .is_some_and(|p| p.seq <= low_water_mark && p.issued_ms + retention <= now)
                        {
                            model.purges.remove(0);
                        }
                        if model
                            .cutoff
                            .is_some_and(|cutoff| cutoff.0 <= low_water_mark && cutoff.1 + retention <= now)
                        {
                            model.cutoff = None;
                        }
                    }
                    Step::Wait(ms) => now += f64::from(ms),
                    Step::Lookup { is_class_a, object, part, group, keys, age } => {
                        let name =
                            copy_name(if is_class_a { "a" } else { "b" }, u64::from(object), u32::from(part));
                        let keys: Vec<SurrogateKey> = (0..4)
                            .filter(|k| keys & (1 << k) != 0)
                            .map(|k| SurrogateKey::new(&format!("t{k}")).unwrap())
                            .collect();
                        let copy = CachedCopy {
                            name: &name,
                            object: u64::from(object),
                            group: u32::from(group),
                            surrogate_keys: &keys,
                        };
                        let expected = model.newest(&copy);
                        prop_assert_eq!(
                            active.newest_covering(&copy).map(|stamp| stamp.issued_ms),
                            expected,
                            "{:?}",
                            copy
                        );
                        let generated_ms = now - f64::from(age) * 4.0;
                        let is_removed = expected.is_some_and(|issued_ms| generated_ms <= issued_ms);
                        prop_assert_eq!(active.removing_purge(&copy, generated_ms).is_some(), is_removed);
                    }
                }
                prop_assert_eq!(active.len(), model.purges.len());
            }
            Ok(())
        })
        .unwrap();
}
