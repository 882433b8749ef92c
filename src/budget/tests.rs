use super::*;

#[test]
fn retries_are_limited_to_the_ratio_of_the_events_in_the_window() {
    let rule = Some(AttemptBudget { base_attempts: 1.0, ratio: 0.1, window: 100.0 });
    let mut usage = BudgetUsage::default();
    (0..10).for_each(|_| usage.record(rule, 10.0, false));
    for now in [20.0, 30.0] {
        assert!(usage.allows_retry(rule, now));
        usage.record(rule, now, true);
    }
    assert!(!usage.allows_retry(rule, 40.0));
    // The accepted queries leave the window before the retries that they allowed.
    assert!(!usage.allows_retry(rule, 110.0) && usage.allows_retry(rule, 130.1));
    assert!(usage.allows_retry(None, 40.0), "without a rule there is no limit");
}
