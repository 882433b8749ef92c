use super::*;

/// Returns the estimate after answers that took these times.
fn after(samples: &[Millis]) -> RoundTripTime {
    let mut round_trip_time = RoundTripTime::default();
    samples.iter().for_each(|sample| round_trip_time.record(*sample));
    round_trip_time
}

#[test]
fn a_query_is_repeated_later_the_longer_answers_take() {
    assert_eq!(after(&[]).retry_timeout(), 500.0);
    assert_eq!(after(&[0.2; 20]).retry_timeout(), 500.0);
    assert!((after(&[700.0; 20]).retry_timeout() - 2100.0).abs() < 1e-6, "two others may come first");
    assert_eq!(after(&[100.0, 9000.0]).retry_timeout(), 6000.0);
}

#[test]
fn an_answer_is_overdue_sooner_than_its_query_is_repeated() {
    assert_eq!(after(&[0.2; 20]).overdue_timeout(), 100.0);
    assert!((after(&[250.0; 20]).overdue_timeout() - 750.0).abs() < 1e-6);
    assert_eq!(after(&[100.0, 9000.0]).overdue_timeout(), 6000.0);
}

#[test]
fn the_states_of_all_instances_are_queried_in_time_where_possible() {
    let share = |latency, instances| after(&[latency; 4]).state_share(instances);
    assert_eq!(after(&[]).state_share(12), 1.0 / 3.0, "nothing is known yet");
    assert_eq!(share(0.2, 200), 1.0 / 3.0);
    assert_eq!(share(10.0, 200), 0.4);
    assert!((share(250.0, 12) - 0.6).abs() < 1e-9);
    assert_eq!(share(450.0, 12), 0.875);
    assert_eq!(share(250.0, 200), 1.0 / 3.0, "in time is out of reach");
    assert_eq!(share(250.0, 0), 1.0 / 3.0);
}
