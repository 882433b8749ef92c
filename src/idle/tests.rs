use super::IdleDrops;

#[test]
fn two_losses_are_enough_and_the_shortest_idle_time_sets_the_limit() {
    let mut idle = IdleDrops::default();
    idle.record_send(800.0, true, 0.0, 1e6);
    assert!(!idle.drops_detected(0.0, 1e6), "a single loss may have another cause");
    idle.record_send(600.0, true, 1.0, 1e6);
    assert!(idle.drops_detected(1.0, 1e6) && idle.limit == 300.0, "{idle:?}");
    assert!(!idle.drops_detected(1e7, 1e6), "the losses have decayed");
}
