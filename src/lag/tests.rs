use super::StepLag;

#[test]
fn an_answer_leaves_earlier_by_the_lags_of_its_router_and_no_longer_than_they_last() {
    let mut lag = StepLag::default();
    lag.note(Some(100.0), 100.0, 500.0, 2000.0);
    assert_eq!(lag.of_an_answer(100.0, 500.0, 2000.0), 0.0);
    lag.note(Some(200.0), 206.0, 500.0, 2000.0);
    assert_eq!(lag.of_an_answer(206.0, 500.0, 2000.0), 18.0);
    // Half of it is forgotten in its time, and a step before its wake tells nothing.
    lag.note(Some(3000.0), 2206.0, 500.0, 2000.0);
    assert_eq!(lag.of_an_answer(2206.0, 500.0, 2000.0), 9.0);
    assert_eq!(lag.back, 0.0);
}

#[test]
fn a_stall_is_told_from_a_lag_and_costs_no_more_than_a_tenth_of_the_aim() {
    let mut lag = StepLag::default();
    lag.note(Some(100.0), 400.0, 500.0, 2000.0);
    assert_eq!(lag.back, 400.0);
    assert_eq!(lag.of_an_answer(400.0, 500.0, 2000.0), 50.0);
}
