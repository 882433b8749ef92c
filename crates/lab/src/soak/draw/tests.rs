use super::*;

const LIFE_S: f64 = 12.0;

#[test]
fn a_seed_draws_the_same_life_again_and_others_another() {
    assert_eq!(Draw::of(7, LIFE_S), Draw::of(7, LIFE_S));
    assert_ne!(Draw::of(7, LIFE_S).to_string(), Draw::of(8, LIFE_S).to_string());
}

#[test]
fn all_that_may_be_drawn_is_drawn_by_some_seed() {
    let draws: Vec<_> = (0..400).map(|seed| Draw::of(seed, LIFE_S)).collect();
    let troubles = || draws.iter().flat_map(|draw| draw.troubles.iter().map(|(_, trouble)| trouble));
    for guest in GUESTS {
        assert!(draws.iter().any(|draw| draw.guests.contains(&guest)), "{guest:?}");
    }
    for faults in FAULTS {
        let drawn = |draw: &Draw| draw.faults.as_deref().is_some_and(|drawn| drawn.ends_with(faults));
        assert!(draws.iter().any(drawn), "{faults}");
    }
    for ending in ENDINGS {
        assert!(troubles().any(|trouble| matches!(trouble, Trouble::End(_, drawn) if *drawn == ending)));
    }
    assert!(
        draws.iter().any(|draw| draw.aggregators >= 20) && draws.iter().any(|draw| draw.aggregators == 1)
    );
    assert!(troubles().any(|trouble| matches!(trouble, Trouble::Upgrade(_))));
    assert!(troubles().any(|trouble| matches!(trouble, Trouble::Discovery(Mode::Silent, _))));
    assert!(draws.iter().all(|draw| draw.troubles.iter().all(|(at, _)| *at <= LIFE_S * 500.0)));
}
