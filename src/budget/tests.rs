use super::*;

#[test]
fn what_was_taken_in_the_window_allows_its_share_and_no_more() {
    let rule = Some(AttemptBudget { base_attempts: 1.0, ratio: 0.1, window: 100.0 });
    let mut spent = BudgetUsage::default();
    (0..10).for_each(|_| spent.note(rule, 10.0, false));
    for now in [20.0, 30.0] {
        assert!(spent.allows(rule, now));
        spent.note(rule, now, true);
    }
    assert!(!spent.allows(rule, 40.0));
    // What was taken leaves the window before what was sent again for it.
    assert!(!spent.allows(rule, 110.0) && spent.allows(rule, 130.1));
    assert!(spent.allows(None, 40.0), "without a rule there is no limit");
}
