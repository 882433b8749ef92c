use super::*;
use crate::record::Outcome;

#[test]
fn packing_preserves_events_and_actions_in_order() {
    let mut random = fastrand::Rng::with_seed(1);
    for _ in 0..300 {
        let event = |random: &mut fastrand::Rng| match random.u8(..4) {
            0 => Event::Query {
                query: random.u64(..3),
                class: 0,
                group: None,
                key: None,
                arrived: Num::of(-0.25),
                deadline: Num::of(4000.0),
                parts: 2,
                retry: false,
            },
            1 | 2 => Event::Part {
                query: random.u64(..3),
                shard: random.u32(..9),
                weight: Num::of(random.f64()),
                hint: None,
                key: random.bool().then_some(Name(1)),
            },
            _ => Event::Wake,
        };
        let action = |random: &mut fastrand::Rng| match random.u8(..4) {
            0 => Action::Answer { query: 1, whole: true },
            _ => Action::Send {
                query: random.u64(..2),
                shard: random.u32(..9),
                run_store: Name(random.u32(..3)),
                timeout: Num::of(f64::from(random.u8(..2))),
                why: if random.bool() { Why::First } else { Why::After(Outcome::Reset) },
                choice: Choice::Least,
            },
        };
        let events = (0..random.usize(..12)).map(|_| event(&mut random)).collect();
        let actions = (0..random.usize(..12)).map(|_| action(&mut random)).collect();
        let step = Step { events, actions };
        let bytes = postcard::to_stdvec(&step).unwrap();
        assert_eq!(postcard::from_bytes::<Step>(&bytes).unwrap(), step);
    }
}
