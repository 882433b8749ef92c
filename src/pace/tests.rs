use super::*;
use std::collections::VecDeque;

/// Returns how many parts complete in time within 20 s. Two routers each send a part every 20 ms, unless
/// the replica is saturated, to a replica with a queue of 40 that processes one part in `each` ms. Parts
/// without an answer after 250 ms are cancelled, but the replica processes them all the same.
fn in_time(each: u32, limited: bool) -> u32 {
    let mut rates = [ServiceRate::default(); 2];
    let mut out = [0.0; 2];
    let mut queue: VecDeque<(usize, u32, f64)> = VecDeque::new();
    let (mut done, mut idle_from) = (0, 0);
    for now in 0..20_000 {
        for (router, (rate, out)) in rates.iter_mut().zip(&mut out).enumerate() {
            // Each part is cancelled only once, exactly at its timeout.
            for (_, _, in_flight) in queue.iter().filter(|(of, sent, _)| *of == router && now - sent == 250) {
                rate.record(*in_flight, 250.0, false);
                *out -= 1.0;
            }
            let saturated = limited && rate.is_saturated(*out, 250.0 * 0.85);
            if now % 20 == router as u32 * 10 && queue.len() < 40 && !saturated {
                *out += 1.0;
                queue.push_back((router, now, *out));
            }
        }
        if now >= idle_from {
            if let Some((router, sent, in_flight)) = queue.pop_front() {
                idle_from = now + each;
                if now - sent < 250 {
                    rates[router].record(in_flight, f64::from(now + each - sent), true);
                    out[router] -= 1.0;
                    done += 1;
                }
            }
        }
    }
    done
}

#[test]
fn an_overloaded_replica_still_completes_what_it_can() {
    // It processes 62 parts per second and is sent 100: no part gets through its full queue in time.
    assert!(in_time(16, false) < 100, "{}", in_time(16, false));
    assert!(in_time(16, true) > 800, "{}", in_time(16, true));
}

#[test]
fn a_replica_with_spare_capacity_is_not_limited() {
    assert_eq!(in_time(5, true), in_time(5, false));
}

#[test]
fn a_cancelled_part_never_raises_the_rate() {
    let mut rate = ServiceRate::default();
    rate.record(1.0, 10.0, true);
    rate.record(50.0, 100.0, false);
    assert!(rate.is_saturated(10.0, 100.0) && !rate.is_saturated(9.9, 100.0));
    rate.record(2.0, 100.0, false);
    assert!(rate.is_saturated(9.9, 100.0));
    assert!(!rate.is_saturated(0.5, 1.0), "one part may always be in flight");
    assert!(!ServiceRate::default().is_saturated(99.0, 1.0), "there is no sample");
}
