use super::*;

const PROFILE: Profile = Profile {
    slots: 2,
    queue: 3,
    work_ms: 10.0,
    cold_from: 0.3,
    warm_ms: 1000.0,
    stall_every_ms: 0.0,
    stall_ms: 0.0,
};

#[test]
fn parts_beyond_slots_and_queue_are_rejected() {
    let mut model = Model::new(PROFILE, -5000.0, 1);
    let outcomes: Vec<_> = (0..7).map(|_| model.offer(0.0, 1e9)).collect();
    assert_eq!(outcomes.iter().filter(|outcome| matches!(outcome, PartOutcome::Done(_))).count(), 5);
    assert_eq!(outcomes[5..], [PartOutcome::Rejected; 2]);
    assert_eq!(model.utilization(0.0), 1.0);
    assert_eq!(model.utilization(1e6), 0.0);
}

#[test]
fn a_cold_run_store_is_slower_and_a_part_past_its_timeout_does_not_run() {
    let (mut warm, mut cold) = (Model::new(PROFILE, -5000.0, 1), Model::new(PROFILE, 0.0, 1));
    let (PartOutcome::Done(warm_at), PartOutcome::Done(cold_at)) =
        (warm.offer(0.0, 1e9), cold.offer(0.0, 1e9))
    else {
        panic!()
    };
    assert!((cold_at / warm_at - 1.0 / 0.3).abs() < 1e-9, "{cold_at} {warm_at}");
    cold.offer(0.0, 1e9);
    assert_eq!(cold.offer(0.0, 1.0), PartOutcome::Expired);
    assert_eq!(warm.warmth(0.0), 1.0);
}

#[test]
fn work_pauses_during_a_stall() {
    let profile = Profile { stall_every_ms: 100.0, stall_ms: 40.0, ..PROFILE };
    let model = Model { stall_offset_ms: 0.0, ..Model::new(profile, -5000.0, 1) };
    assert_eq!(model.through_stalls(50.0, 10.0), 60.0);
    assert_eq!(model.through_stalls(10.0, 10.0), 50.0, "stalled until 40");
    assert_eq!(model.through_stalls(95.0, 10.0), 145.0, "stalled again from 100 to 140");
}
