//! The purge ledger against the plainest model of what it must decide: a list of every purge held, each checked.
//! Random steps with a fixed seed, so that the verdict is the same every time.

use edge_proxy::purge::active_purges::{Applied, Ledger, LedgerBounds, Purge};
use edge_proxy::purge::selector::{copy_name, Copy, Selector, Tag};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const PATTERNS: [&str; 6] =
    ["/a/**", "/b/*/1", "/*/000000000000000?/*", "/a/0000000000000002/0", "/b/00*", "/*/*/2"];

#[derive(Clone, Debug)]
enum Step {
    Purge(u8, u8),
    Retire(u8),
    Look { class: bool, object: u8, part: u8, group: u8, tags: u8, born: u8 },
    Later(u16),
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
        1 => any::<u8>().prop_map(Step::Retire),
        6 => (any::<bool>(), 0u8..4, 0u8..3, 0u8..3, 0u8..16, any::<u8>())
            .prop_map(|(class, object, part, group, tags, born)| Step::Look { class, object, part, group, tags, born }),
        2 => (1u16..400).prop_map(Step::Later),
    ]
}

/// The model: every purge held, in order, and the floor that folding left.
#[derive(Default)]
struct Model {
    held: Vec<Purge>,
    floor: Option<(u64, f64)>,
    done: u64,
}

impl Model {
    fn newest(&self, copy: &Copy<'_>) -> Option<f64> {
        let held = self.held.iter().filter(|p| p.sel.covers(copy)).map(|p| p.issued_ms);
        held.chain(self.floor.map(|f| f.1)).max_by(f64::total_cmp)
    }
}

#[test]
fn the_ledger_decides_as_a_list_of_every_purge_would() {
    let config = Config { cases: 200, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let steps = proptest::collection::vec(step(), 1..120);
    runner
        .run(&steps, |steps| {
            let bounds = LedgerBounds { most: 6, hold_ms: 300.0 };
            let (mut ledger, mut model) = (Ledger::new(bounds), Model::default());
            let (mut now, mut seq) = (1_000.0, 0u64);
            for step in steps {
                match step {
                    Step::Purge(kind, value) => {
                        seq += 1;
                        let purge = Purge { seq, issued_ms: now, sel: selector(kind, value) };
                        prop_assert_eq!(ledger.apply(&purge), Applied::New);
                        prop_assert_eq!(ledger.apply(&purge), Applied::Held);
                        if let Selector::Everything = purge.sel {
                            model.floor =
                                Some(
                                    model
                                        .floor
                                        .map_or((seq, now), |f| if now > f.1 { (seq, now) } else { f }),
                                );
                        }
                        model.held.push(purge);
                        if model.held.len() > bounds.most {
                            let oldest = model.held.remove(0);
                            let newer = model.floor.is_none_or(|f| oldest.issued_ms > f.1);
                            model.floor =
                                if newer { Some((oldest.seq, oldest.issued_ms)) } else { model.floor };
                        }
                    }
                    Step::Retire(back) => {
                        let through = seq.saturating_sub(u64::from(back % 4));
                        ledger.retire(through, now);
                        model.done = model.done.max(through);
                        let (done, hold) = (model.done, bounds.hold_ms);
                        while model.held.first().is_some_and(|p| p.seq <= done && p.issued_ms + hold <= now) {
                            model.held.remove(0);
                        }
                        if model.floor.is_some_and(|f| f.0 <= done && f.1 + hold <= now) {
                            model.floor = None;
                        }
                    }
                    Step::Later(ms) => now += f64::from(ms),
                    Step::Look { class, object, part, group, tags, born } => {
                        let name =
                            copy_name(if class { "a" } else { "b" }, u64::from(object), u32::from(part));
                        let tags: Vec<Tag> = (0..4)
                            .filter(|k| tags & (1 << k) != 0)
                            .map(|k| Tag::new(&format!("t{k}")).unwrap())
                            .collect();
                        let copy = Copy {
                            name: &name,
                            object: u64::from(object),
                            group: u32::from(group),
                            tags: &tags,
                        };
                        let expected = model.newest(&copy);
                        prop_assert_eq!(ledger.newest(&copy).map(|m| m.issued_ms), expected, "{:?}", copy);
                        let born = now - f64::from(born) * 4.0;
                        let removed = expected.is_some_and(|issued| born <= issued);
                        prop_assert_eq!(ledger.purges(&copy, born).is_some(), removed);
                    }
                }
                prop_assert_eq!(ledger.held(), model.held.len());
            }
            Ok(())
        })
        .unwrap();
}
