use super::*;

#[test]
fn lines_are_sorted_by_time() {
    let text = "# a night\nat 1.5m kill 3 for 15s # all at once\n\nat 250ms slow s-1 by 4 for 10s\nat 2s aggregator kill\n";
    let lines = parse(text).unwrap();
    assert_eq!(lines[0], Line { at: 250.0, fault: Fault::Slow(Selection::One(1), 4.0, 10_000.0) });
    assert_eq!(lines[1].fault, Fault::KillAggregator);
    assert_eq!(lines[2], Line { at: 90_000.0, fault: Fault::Kill(Selection::Some(3), 15_000.0) });
}

#[test]
fn faults_between_processes_are_parsed() {
    let text = "at 1s cut n-0 from stores for 5s\nat 2s mute n-1 from s-4 for 1s\nat 3s delay n-2 from discovery by 50ms for 2s\n\
                at 4s reset n-0 from stores\nat 5s crash n-1 for 2s\nat 6s stop n-2 for 3s\nat 7s restart n-0\nat 8s load by 3 for 20s";
    let parsed: Vec<_> = parse(text).unwrap().into_iter().map(|line| line.fault).collect();
    let expected = [
        Fault::Cut(0, LinkTarget::Stores, false, 5000.0),
        Fault::Cut(1, LinkTarget::Store(4), true, 1000.0),
        Fault::Delay(2, LinkTarget::Discovery, 50.0, 2000.0),
        Fault::Reset(0, LinkTarget::Stores),
        Fault::Crash(1, 2000.0),
        Fault::Stop(2, 3000.0),
        Fault::Restart(0),
        Fault::Load(3.0, 20_000.0),
    ];
    assert_eq!(parsed, expected);
    assert!(parse("at 1s cut s-1 from stores for 5s").unwrap_err().contains("aggregator, as n-0"));
}

#[test]
fn every_invalid_line_is_reported_with_its_position() {
    let errors =
        parse("at 5s kill 3\nat 1s drain s-1 for 4s\nat soon kill 1 for 2s\nat 1s sing s-1").unwrap_err();
    let lines: Vec<_> = errors.lines().collect();
    assert_eq!(lines.len(), 3, "{errors}");
    assert!(lines[0].starts_with("line 1, column 13") && lines[0].contains("duration"), "{errors}");
    assert!(lines[1].starts_with("line 3, column 4") && lines[1].contains("time"), "{errors}");
    assert!(lines[2].starts_with("line 4"), "{errors}");
}

#[test]
fn counted_run_stores_are_drawn_by_the_seed_without_repetition() {
    let of = |seed| select(&Selection::Some(3), 8, &mut fastrand::Rng::with_seed(seed));
    assert_eq!(of(1), of(1));
    let mut some = of(2);
    some.dedup();
    assert_eq!(some.len(), 3);
}
