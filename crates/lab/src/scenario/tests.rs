use super::*;

#[test]
fn lines_are_read_in_order_of_time() {
    let text = "# a night\nat 1.5m kill 3 for 15s # all at once\n\nat 250ms slow s-1 by 4 for 10s\nat 2s aggregator kill\n";
    let lines = read(text).unwrap();
    assert_eq!(lines[0], Line { at: 250.0, act: Act::Slow(Which::One(1), 4.0, 10_000.0) });
    assert_eq!(lines[1].act, Act::KillAggregator);
    assert_eq!(lines[2], Line { at: 90_000.0, act: Act::Kill(Which::Some(3), 15_000.0) });
}

#[test]
fn faults_between_processes_are_read() {
    let text = "at 1s cut n-0 from stores for 5s\nat 2s mute n-1 from s-4 for 1s\nat 3s delay n-2 from discovery by 50ms for 2s\n\
                at 4s reset n-0 from stores\nat 5s crash n-1 for 2s\nat 6s stop n-2 for 3s\nat 7s restart n-0\nat 8s load by 3 for 20s";
    let acts: Vec<_> = read(text).unwrap().into_iter().map(|line| line.act).collect();
    let expected = [
        Act::Cut(0, Ends::Stores, false, 5000.0),
        Act::Cut(1, Ends::Store(4), true, 1000.0),
        Act::Delay(2, Ends::Discovery, 50.0, 2000.0),
        Act::Reset(0, Ends::Stores),
        Act::Crash(1, 2000.0),
        Act::Stop(2, 3000.0),
        Act::Restart(0),
        Act::Load(3.0, 20_000.0),
    ];
    assert_eq!(acts, expected);
    assert!(read("at 1s cut s-1 from stores for 5s").unwrap_err().contains("aggregator, as n-0"));
}

#[test]
fn all_faults_are_named_by_their_lines() {
    let faults =
        read("at 5s kill 3\nat 1s drain s-1 for 4s\nat soon kill 1 for 2s\nat 1s sing s-1").unwrap_err();
    let lines: Vec<_> = faults.lines().collect();
    assert_eq!(lines.len(), 3, "{faults}");
    assert!(lines[0].starts_with("line 1, column 13") && lines[0].contains("spell"), "{faults}");
    assert!(lines[1].starts_with("line 3, column 4") && lines[1].contains("time"), "{faults}");
    assert!(lines[2].starts_with("line 4"), "{faults}");
}

#[test]
fn counted_run_stores_are_chosen_by_the_seed_each_once() {
    let of = |seed| pick(&Which::Some(3), 8, &mut fastrand::Rng::with_seed(seed));
    assert_eq!(of(1), of(1));
    let mut some = of(2);
    some.dedup();
    assert_eq!(some.len(), 3);
}
