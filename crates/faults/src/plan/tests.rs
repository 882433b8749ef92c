use super::{Fault, Plan};

#[test]
fn a_plan_fails_its_percentage_of_calls_reproducibly() {
    let injected = || {
        let plan = Plan::parse("seed=7 recv=EINTR@30 wall_ms=-5000").unwrap();
        assert_eq!((plan.send, plan.constant_wall_offset_ms), (None, -5000));
        (0..1000).map(|_| plan.injected_error(plan.recv)).collect::<Vec<_>>()
    };
    let first = injected();
    assert!((250..350).contains(&first.iter().flatten().count()));
    assert!(first.iter().flatten().all(|error| *error == libc::EINTR));
    assert_eq!(first, injected());
}

#[test]
fn the_wall_clock_is_stepped_at_the_given_time() {
    let plan = Plan::parse("wall_ms=7 wall_step=1500:-3600000").unwrap();
    assert_eq!((plan.wall_offset_ms(1499), plan.wall_offset_ms(1500)), (7, 7 - 3_600_000));
}

#[test]
fn an_invalid_plan_is_rejected() {
    for text in
        ["recv", "recv=EWHAT@3", "recv=EINTR", "recv=EINTR@101", "sleep=EINTR@3", "wall_step=3", "wall_ms=x"]
    {
        assert!(Plan::parse(text).is_none(), "{text}");
    }
    assert_eq!(
        Plan::parse("accept=EMFILE@1").unwrap().accept,
        Some(Fault { error: libc::EMFILE, percent: 1 })
    );
}
