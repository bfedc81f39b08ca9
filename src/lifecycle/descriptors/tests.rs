use super::*;

fn assert_within_limit(max: usize, budget: DescriptorBudget, demand: DescriptorDemand) {
    let counted = budget.clients + budget.endpoints + budget.admin_clients + demand.subsystems();
    assert!(
        counted + DEFAULT_OPEN_DESCRIPTORS + RESERVED_DESCRIPTORS <= max,
        "{max}: {budget:?} and {demand:?}"
    );
}

/// Guards against running out of descriptors because the budget and the reserve exceed the limit.
#[test]
fn the_budget_never_exceeds_the_limit() {
    for max in 24..4_096 {
        for other_subsystems in [0, 64, 320] {
            for handed_over in [false, true] {
                let signed_url_clients = other_subsystems / 2;
                let demand = DescriptorDemand { signed_url_clients, other_subsystems, handed_over };
                let budget = DescriptorBudget::new(Descriptors::estimated(max), demand);
                if !budget.is_insufficient {
                    assert_within_limit(max, budget, demand);
                }
            }
        }
    }
}

/// Guards against shares that leave no room for the reserve and the admin address, and against a full share
/// for endpoints on an inherited socket.
#[test]
fn clients_and_endpoints_get_two_fifths_each_and_endpoints_a_quarter_on_an_inherited_socket() {
    let descriptors = Descriptors::estimated(1_024);
    let budget = DescriptorBudget::new(descriptors, DescriptorDemand::default());
    let expected =
        DescriptorBudget { clients: 409, endpoints: 409, admin_clients: 16, is_insufficient: false };
    assert_eq!(budget, expected);
    let handed_over = DescriptorDemand { handed_over: true, ..DescriptorDemand::default() };
    assert_eq!(DescriptorBudget::new(descriptors, handed_over).endpoints, 256);
}

#[test]
fn an_insufficient_limit_is_reported_and_leaves_at_least_one_connection_of_each_kind() {
    let demand = DescriptorDemand { other_subsystems: 60, ..DescriptorDemand::default() };
    let budget = DescriptorBudget::new(Descriptors::estimated(64), demand);
    assert!(budget.is_insufficient);
    assert!(budget.clients == 1 && budget.endpoints == 1 && budget.admin_clients == 4);
    let budget = DescriptorBudget::new(Descriptors::estimated(24), DescriptorDemand::default());
    assert!(!budget.is_insufficient);
}

#[test]
fn the_lower_of_the_system_and_configured_limits_applies() {
    let (soft, _) = Resource::NOFILE.get().unwrap();
    let descriptors = Descriptors::of_process(usize::MAX);
    assert_eq!(descriptors.max as u64, soft);
    assert!((3..descriptors.max).contains(&descriptors.open));
    assert_eq!(Descriptors::of_process(20).max, 20);
}
