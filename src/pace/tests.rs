use super::*;
use std::collections::VecDeque;

/// Two routers send to a replica with a queue of 40 that does one part in `each` ms, each a part every 20 ms unless
/// it is laden; what has not come after 250 ms is called back and worked on all the same. Says how many come in time
/// within 20 s.
fn in_time(each: u32, bounded: bool) -> u32 {
    let mut paces = [ServiceRate::default(); 2];
    let mut out = [0.0; 2];
    let mut queue: VecDeque<(usize, u32, f64)> = VecDeque::new();
    let (mut done, mut free) = (0, 0);
    for now in 0..20_000 {
        for (router, (pace, out)) in paces.iter_mut().zip(&mut out).enumerate() {
            // Each is called back but once, at its time.
            for (_, _, ahead) in queue.iter().filter(|(of, sent, _)| *of == router && now - sent == 250) {
                pace.note(*ahead, 250.0, false);
                *out -= 1.0;
            }
            let laden = bounded && pace.is_laden(*out, 250.0 * 0.85);
            if now % 20 == router as u32 * 10 && queue.len() < 40 && !laden {
                *out += 1.0;
                queue.push_back((router, now, *out));
            }
        }
        if now >= free {
            if let Some((router, sent, ahead)) = queue.pop_front() {
                free = now + each;
                if now - sent < 250 {
                    paces[router].note(ahead, f64::from(now + each - sent), true);
                    out[router] -= 1.0;
                    done += 1;
                }
            }
        }
    }
    done
}

#[test]
fn a_replica_asked_for_too_much_still_completes_what_it_can() {
    // It does 62 parts a second and is asked for 100: nothing comes out of its full queue in time.
    assert!(in_time(16, false) < 100, "{}", in_time(16, false));
    assert!(in_time(16, true) > 800, "{}", in_time(16, true));
}

#[test]
fn a_replica_with_time_to_spare_is_not_bounded() {
    assert_eq!(in_time(5, true), in_time(5, false));
}

#[test]
fn a_part_called_back_never_makes_a_replica_look_faster() {
    let mut pace = ServiceRate::default();
    pace.note(1.0, 10.0, true);
    pace.note(50.0, 100.0, false);
    assert!(pace.is_laden(10.0, 100.0) && !pace.is_laden(9.9, 100.0));
    pace.note(2.0, 100.0, false);
    assert!(pace.is_laden(9.9, 100.0));
    assert!(!pace.is_laden(0.5, 1.0), "one may always be out");
    assert!(!ServiceRate::default().is_laden(99.0, 1.0), "nothing is known");
}
