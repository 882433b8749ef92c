use super::*;

/// Returns the retries that all routers send in a burst after a long quiet time, in which each sends as
/// many as it may and accepts `parts` parts.
fn retries_in_burst(routers: u32, parts: u32) -> u32 {
    let mut all = vec![RetryBudget::default(); routers as usize];
    let mut sent = 0;
    for router in &mut all {
        (0..100).for_each(|_| router.earn(routers, 1));
        for part in 0..parts + 100 {
            if part < parts {
                router.earn(routers, 1);
            }
            while router.allows() {
                router.spend(routers);
                sent += 1;
            }
        }
    }
    sent
}

#[test]
fn the_budgets_of_all_routers_add_up_to_one() {
    for routers in [1, 3, 10, 40] {
        let budget = MAX_SAVED * f64::from(routers.min(4)) + RETRIES_PER_PART * f64::from(routers * 300);
        assert!(
            f64::from(retries_in_burst(routers, 300)) <= budget + 0.5,
            "{routers}: {}",
            retries_in_burst(routers, 300)
        );
    }
    // Each of three hundred routers may send one retry, and what it earns.
    assert!(retries_in_burst(300, 10) <= 600, "{}", retries_in_burst(300, 10));
}

#[test]
fn the_debt_is_at_most_what_may_be_saved() {
    let mut router = RetryBudget::default();
    (0..1000).for_each(|_| router.spend(1));
    assert!(!router.allows());
    (0..=((MAX_SAVED + 1.0) / RETRIES_PER_PART) as u32).for_each(|_| router.earn(1, 1));
    assert!(router.allows());
}

#[test]
fn a_query_with_many_parts_may_spend_what_it_earns() {
    let mut router = RetryBudget::default();
    (0..20).for_each(|_| router.spend(300));
    (1..=60).for_each(|parts| router.earn(300, parts));
    let mut sent = 0;
    while router.allows() {
        router.spend(300);
        sent += 1;
    }
    assert!((4..=5).contains(&sent), "a tenth of sixty, less a debt of one: {sent}");
}
