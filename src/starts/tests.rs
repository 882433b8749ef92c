use super::*;

const HOUR: Millis = 3_600_000.0;
const NOW: Millis = 50.0 * HOUR;
const WARM_WITHIN: Millis = 16_000.0;

fn id(name: &str) -> ReplicaId {
    ReplicaId::from(name)
}

fn place_update(starts: &mut StartTimes, name: &str, stated: Millis, now: Millis) -> Millis {
    starts.place(&id(name), Some(stated), now, StartSource::Update, WARM_WITHIN).unwrap()
}

#[test]
fn a_clock_off_by_an_hour_makes_no_start_older_and_puts_none_in_the_future() {
    for clock_is_ahead in [-HOUR, 0.0, HOUR] {
        let mut starts = StartTimes::default();
        for (n, lag) in [3000.0, 1000.0, 9000.0].into_iter().enumerate() {
            let now = NOW + n as Millis * 20_000.0;
            let placed = place_update(&mut starts, &format!("s{n}"), now - lag - clock_is_ahead, now);
            assert!(
                (now - lag..=now).contains(&placed),
                "ahead by {clock_is_ahead}: {lag} ms, {}",
                now - placed
            );
        }
    }
}

/// A wrong clock of a few seconds cannot be told from the delay of the update: the start is off by these at
/// most, and never in the future.
#[test]
fn a_clock_off_by_seconds_moves_starts_by_no_more() {
    for clock_is_ahead in [-5000.0, 5000.0] {
        let placed = place_update(&mut StartTimes::default(), "a", NOW - 4000.0 - clock_is_ahead, NOW);
        assert!(
            placed <= NOW && (placed - (NOW - 4000.0)).abs() <= 5000.0,
            "{clock_is_ahead}: {}",
            NOW - placed
        );
    }
}

#[test]
fn a_recorded_step_of_the_wall_clock_moves_no_start() {
    for step in [-HOUR, -5000.0, HOUR] {
        let mut starts = StartTimes::default();
        starts.record_wall_clock(0.0);
        let before = place_update(&mut starts, "before", NOW - 2000.0, NOW);
        starts.record_wall_clock(step);
        let later = NOW + 30_000.0;
        // Stated again in an update with another state.
        assert_eq!(place_update(&mut starts, "before", NOW - 2000.0, later), before);
        let placed = place_update(&mut starts, "behind", later - 4000.0 + step, later);
        assert_eq!(later - placed, 4000.0, "step {step}");
    }
}

#[test]
fn late_updates_are_placed_once_the_clock_is_verified() {
    let mut starts = StartTimes::default();
    assert_eq!(
        place_update(&mut starts, "unknown", NOW - 60_000.0, NOW),
        NOW,
        "the clock may be a minute ahead"
    );
    assert!(
        !starts.is_warmth_known(&id("unknown"), NOW + WARM_WITHIN - 1.0),
        "the run store may be warm already"
    );
    assert!(
        starts.is_warmth_known(&id("unknown"), NOW + WARM_WITHIN)
            && starts.is_warmth_known(&id("not listed"), NOW)
    );
    place_update(&mut starts, "soon", NOW - 2000.0, NOW);
    // The discovery service was unreachable for a while.
    assert_eq!(place_update(&mut starts, "late", NOW - 60_000.0, NOW), NOW - 60_000.0);
    assert!(starts.is_warmth_known(&id("late"), NOW));
    starts.record_wall_clock(HOUR);
    assert_eq!(place_update(&mut starts, "behind a step", NOW - 60_000.0, NOW), NOW);
}

#[test]
fn starts_in_the_initial_list_are_placed_as_stated() {
    let mut starts = StartTimes::default();
    let at = |starts: &mut StartTimes, stated| {
        starts.place(&id("a"), stated, NOW, StartSource::InitialList, WARM_WITHIN)
    };
    assert_eq!(at(&mut starts, Some(NOW - HOUR)), Some(NOW - HOUR));
    assert_eq!(at(&mut starts, Some(NOW + HOUR)), Some(NOW), "a future start is taken to be now");
    assert_eq!(at(&mut starts, None), None);
    assert_eq!(starts.stated(&id("a")), None);
}
