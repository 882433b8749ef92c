use super::*;

const KIND: Kind = Kind {
    slots: 2,
    queue: 3,
    work_ms: 10.0,
    cold_from: 0.3,
    warm_ms: 1000.0,
    stall_every_ms: 0.0,
    stall_ms: 0.0,
};

#[test]
fn it_takes_what_its_slots_and_its_queue_hold_and_turns_the_rest_away() {
    let mut model = Model::new(KIND, -5000.0, 1);
    let fates: Vec<_> = (0..7).map(|_| model.offer(0.0, 1e9)).collect();
    assert_eq!(fates.iter().filter(|fate| matches!(fate, Fate::Done(_))).count(), 5);
    assert_eq!(fates[5..], [Fate::TurnedAway; 2]);
    assert_eq!(model.utilization(0.0), 1.0);
    assert_eq!(model.utilization(1e6), 0.0);
}

#[test]
fn a_cold_one_is_slower_and_a_late_part_never_runs() {
    let (mut warm, mut cold) = (Model::new(KIND, -5000.0, 1), Model::new(KIND, 0.0, 1));
    let (Fate::Done(warm_at), Fate::Done(cold_at)) = (warm.offer(0.0, 1e9), cold.offer(0.0, 1e9)) else {
        panic!()
    };
    assert!((cold_at / warm_at - 1.0 / 0.3).abs() < 1e-9, "{cold_at} {warm_at}");
    cold.offer(0.0, 1e9);
    assert_eq!(cold.offer(0.0, 1.0), Fate::Never);
    assert_eq!(warm.warmth(0.0), 1.0);
}

#[test]
fn work_waits_through_a_stall() {
    let kind = Kind { stall_every_ms: 100.0, stall_ms: 40.0, ..KIND };
    let model = Model { offset: 0.0, ..Model::new(kind, -5000.0, 1) };
    assert_eq!(model.through_stalls(50.0, 10.0), 60.0);
    assert_eq!(model.through_stalls(10.0, 10.0), 50.0, "stalled until 40");
    assert_eq!(model.through_stalls(95.0, 10.0), 145.0, "stalled again from 100 to 140");
}
