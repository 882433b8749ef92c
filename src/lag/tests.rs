use super::StepLag;

#[test]
fn answers_are_sent_earlier_by_the_lag_until_it_decays() {
    let mut lag = StepLag::default();
    lag.record_step(Some(100.0), 100.0, 500.0, 2000.0);
    assert_eq!(lag.answer_margin(100.0, 500.0, 2000.0), 0.0);
    lag.record_step(Some(200.0), 206.0, 500.0, 2000.0);
    assert_eq!(lag.answer_margin(206.0, 500.0, 2000.0), 18.0);
    // Half of the lag has decayed after a half-life, and a step before its wake-up adds none.
    lag.record_step(Some(3000.0), 2206.0, 500.0, 2000.0);
    assert_eq!(lag.answer_margin(2206.0, 500.0, 2000.0), 9.0);
    assert_eq!(lag.stall_ended, 0.0);
}

#[test]
fn a_stall_is_detected_and_the_margin_is_at_most_a_tenth_of_the_aim() {
    let mut lag = StepLag::default();
    lag.record_step(Some(100.0), 400.0, 500.0, 2000.0);
    assert_eq!(lag.stall_ended, 400.0);
    assert_eq!(lag.answer_margin(400.0, 500.0, 2000.0), 50.0);
}
