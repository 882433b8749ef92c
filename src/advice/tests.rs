use super::*;
use crate::hash::draw;

#[test]
fn advice_is_jittered_and_grows_with_the_share_of_refused_queries() {
    let mut chance = 7;
    let mut waits = |advice: RetryAdvice| {
        let mut all: Vec<_> = (0..100)
            .map(|_| advice.retry_after(400.0, 2000.0, (1000.0, 4000.0), draw(&mut chance)))
            .collect();
        all.sort_by(f64::total_cmp);
        (all[5], all[50], all[95])
    };
    let (first, quiet, last) = waits(RetryAdvice::default());
    assert!(last > 2.0 * first, "{first} {last}");
    assert!((90.0..110.0).contains(&quiet), "{quiet}");
    let mut advice = RetryAdvice::default();
    (0..100).for_each(|no| advice.record(no % 4 > 0, 1000.0, 4000.0));
    let (_, overloaded, _) = waits(advice);
    assert!((300.0..500.0).contains(&overloaded), "three in four queries are refused: {overloaded}");
    assert!(advice.retry_after(400.0, 0.0, (1000.0, 4000.0), 0.9) == 0.0, "clients heed no advice");
    assert!(advice.retry_after(1e6, 2000.0, (1000.0, 4000.0), 1.0) <= 2000.0);
}

#[test]
fn old_refusals_decay() {
    let mut advice = RetryAdvice::default();
    (0..200).for_each(|_| advice.record(true, 0.0, 4000.0));
    assert!(advice.retry_after(400.0, 9000.0, (0.0, 4000.0), 0.5) > 900.0);
    assert!(advice.retry_after(400.0, 9000.0, (60_000.0, 4000.0), 0.5) < 110.0);
}
