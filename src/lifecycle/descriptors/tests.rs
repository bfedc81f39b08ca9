use super::*;

fn taken(most: usize, shares: DescriptorBudget, demand: DescriptorDemand) -> usize {
    let counted = shares.clients + shares.endpoints + shares.callers + demand.signed + demand.others;
    assert!(counted + HELD_AT_START + OWN <= most, "{most}: {shares:?} and {demand:?}");
    counted
}

/// Whatever the limit, the shares and what is held back fit into it.
#[test]
fn the_shares_never_exceed_the_limit() {
    for most in 24..4_096 {
        for others in [0, 64, 320] {
            for handed_over in [false, true] {
                let demand = DescriptorDemand { signed: others / 2, others, handed_over };
                let shares = DescriptorBudget::of(Descriptors::planned(most), demand);
                if !shares.short {
                    taken(most, shares, demand);
                }
            }
        }
    }
}

/// A usual limit is shared as ever: what is held back comes out of the fifth that was nobody's.
#[test]
fn a_usual_limit_is_shared_in_fifths() {
    let shares = DescriptorBudget::of(Descriptors::planned(1_024), DescriptorDemand::default());
    assert_eq!(shares, DescriptorBudget { clients: 409, endpoints: 409, callers: 16, short: false });
    let beside = DescriptorDemand { handed_over: true, ..DescriptorDemand::default() };
    assert_eq!(DescriptorBudget::of(Descriptors::planned(1_024), beside).endpoints, 256);
}

/// Want of descriptors is told, and still leaves something to each.
#[test]
fn want_of_descriptors_is_told() {
    let shares = DescriptorBudget::of(
        Descriptors::planned(64),
        DescriptorDemand { others: 60, ..DescriptorDemand::default() },
    );
    assert!(shares.short && shares.clients == 1 && shares.endpoints == 1 && shares.callers == 4);
    assert!(!DescriptorBudget::of(Descriptors::planned(24), DescriptorDemand::default()).short);
}

/// The machine's limit counts where it is lower than the configuration's.
#[test]
fn the_machines_limit_counts_too() {
    let (soft, _) = Resource::NOFILE.get().unwrap();
    let descriptors = Descriptors::of_process(usize::MAX);
    assert_eq!(descriptors.most as u64, soft);
    assert!((3..descriptors.most).contains(&descriptors.held));
    assert_eq!(Descriptors::of_process(20).most, 20);
}
