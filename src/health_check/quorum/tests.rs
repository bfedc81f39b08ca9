use super::*;

fn lease(endpoint: EndpointId, slot: Slot) -> Lease {
    Lease { endpoint, slot }
}

#[test]
fn a_voter_grants_one_candidate_per_slot_and_no_new_vote_before_its_latest_slot() {
    let mut voter = Voter::new(0.0, 100.0);
    assert!(!voter.decide(99.0, 10, lease(7, 10), 1), "requests during the voting delay should be rejected");
    assert!(
        voter.decide(100.0, 10, lease(7, 10), 1) && voter.decide(101.0, 10, lease(7, 10), 1),
        "a repeated request should get the same vote"
    );
    assert!(
        !voter.decide(101.0, 10, lease(7, 10), 2),
        "a second candidate for the same lease should be rejected"
    );
    assert!(voter.decide(102.0, 10, lease(8, 10), 2), "votes of different endpoints should be independent");
    assert!(voter.decide(200.0, 10, lease(7, 11), 2), "a request for the next slot should be granted");
    assert!(
        !voter.decide(200.0, 10, lease(7, 12), 2) && !voter.decide(200.0, 10, lease(7, 8), 2),
        "requests more than one slot from the current one should be rejected"
    );
    // The vote for slot 10 was given to candidate 1 before the vote for slot 11, so it is repeated.
    assert!(
        voter.decide(201.0, 11, lease(7, 10), 1) && !voter.decide(201.0, 11, lease(7, 10), 3),
        "candidate 1 should keep its vote for slot 10 after a vote for slot 11"
    );
    for slot in 12..40 {
        assert!(voter.decide(300.0, slot, lease(7, slot), 3));
        assert!(
            !voter.decide(300.0, slot, lease(7, slot - 1), 9),
            "a request for a slot before the latest vote should be rejected"
        );
    }
    assert!(voter.votes[&7].len() <= MAX_VOTES_PER_ENDPOINT);
    voter.retain(|endpoint| endpoint == 8);
    assert_eq!((voter.voted_for(lease(7, 39)), voter.voted_for(lease(8, 10))), (None, Some(2)));
}
