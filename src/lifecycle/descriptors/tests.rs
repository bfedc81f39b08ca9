use super::*;

fn assert_within_limit(max: usize, budget: DescriptorBudget, demand: DescriptorDemand) {
    let counted = budget.clients + budget.endpoints + budget.admin_clients + demand.subsystems();
    assert!(counted + OPEN_AT_START + UNCOUNTED <= max, "{max}: {budget:?} and {demand:?}");
}

/// Whatever the limit, the budget and what is set aside fit into it.
#[test]
fn the_budget_never_exceeds_the_limit() {
    for max in 24..4_096 {
        for other_subsystems in [0, 64, 320] {
            for handed_over in [false, true] {
                let signed_url_clients = other_subsystems / 2;
                let demand = DescriptorDemand { signed_url_clients, other_subsystems, handed_over };
                let budget = DescriptorBudget::new(Descriptors::expected(max), demand);
                if !budget.is_insufficient {
                    assert_within_limit(max, budget, demand);
                }
            }
        }
    }
}

/// A usual limit is divided in fifths: what is set aside comes out of the last fifth.
#[test]
fn a_usual_limit_is_divided_in_fifths() {
    let descriptors = Descriptors::expected(1_024);
    let budget = DescriptorBudget::new(descriptors, DescriptorDemand::default());
    let fifths = DescriptorBudget { clients: 409, endpoints: 409, admin_clients: 16, is_insufficient: false };
    assert_eq!(budget, fifths);
    let handed_over = DescriptorDemand { handed_over: true, ..DescriptorDemand::default() };
    assert_eq!(DescriptorBudget::new(descriptors, handed_over).endpoints, 256);
}

/// A lack of descriptors is reported, and still leaves something to each.
#[test]
fn a_lack_of_descriptors_is_reported() {
    let demand = DescriptorDemand { other_subsystems: 60, ..DescriptorDemand::default() };
    let budget = DescriptorBudget::new(Descriptors::expected(64), demand);
    assert!(budget.is_insufficient);
    assert!(budget.clients == 1 && budget.endpoints == 1 && budget.admin_clients == 4);
    let budget = DescriptorBudget::new(Descriptors::expected(24), DescriptorDemand::default());
    assert!(!budget.is_insufficient);
}

/// The system's limit counts where it is lower than the configuration's.
#[test]
fn the_systems_limit_counts_too() {
    let (soft, _) = Resource::NOFILE.get().unwrap();
    let descriptors = Descriptors::of_process(usize::MAX);
    assert_eq!(descriptors.max as u64, soft);
    assert!((3..descriptors.max).contains(&descriptors.open));
    assert_eq!(Descriptors::of_process(20).max, 20);
}
