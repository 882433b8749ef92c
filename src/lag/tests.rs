use super::StepLag;

#[test]
fn answers_are_sent_earlier_by_the_lag_until_it_decays() {
    let mut lag = StepLag::default();
    lag.note(Some(100.0), 100.0, 500.0, 2000.0);
    assert_eq!(lag.of_an_answer(100.0, 500.0, 2000.0), 0.0);
    lag.note(Some(200.0), 206.0, 500.0, 2000.0);
    assert_eq!(lag.of_an_answer(206.0, 500.0, 2000.0), 18.0);
    // Half of the lag has decayed after a half-life, and a step before its wake-up adds none.
    lag.note(Some(3000.0), 2206.0, 500.0, 2000.0);
    assert_eq!(lag.of_an_answer(2206.0, 500.0, 2000.0), 9.0);
    assert_eq!(lag.back, 0.0);
}

#[test]
fn a_stall_is_detected_and_the_margin_is_at_most_a_tenth_of_the_aim() {
    let mut lag = StepLag::default();
    lag.note(Some(100.0), 400.0, 500.0, 2000.0);
    assert_eq!(lag.back, 400.0);
    assert_eq!(lag.of_an_answer(400.0, 500.0, 2000.0), 50.0);
}
