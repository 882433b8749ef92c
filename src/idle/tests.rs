use super::IdleDrops;

#[test]
fn two_losses_tell_of_drops_and_the_shortest_fatal_idleness_counts() {
    let mut idle = IdleDrops::default();
    idle.note(800.0, true, 0.0, 1e6);
    assert!(!idle.drops(0.0, 1e6), "one loss may have other causes");
    idle.note(600.0, true, 1.0, 1e6);
    assert!(idle.drops(1.0, 1e6) && idle.limit == 300.0, "{idle:?}");
    assert!(!idle.drops(1e7, 1e6), "it is forgotten");
}
