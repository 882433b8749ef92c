use super::*;

const RUN_S: f64 = 12.0;

#[test]
fn the_same_seed_draws_the_same_run_and_another_seed_a_different_one() {
    assert_eq!(Draw::of(7, RUN_S), Draw::of(7, RUN_S));
    assert_ne!(Draw::of(7, RUN_S).to_string(), Draw::of(8, RUN_S).to_string());
}

#[test]
fn every_option_is_drawn_by_some_seed() {
    let draws: Vec<_> = (0..400).map(|seed| Draw::of(seed, RUN_S)).collect();
    let soak_faults =
        || draws.iter().flat_map(|draw| draw.soak_faults.iter().map(|(_, soak_fault)| soak_fault));
    for kind in CLIENT_KINDS {
        assert!(draws.iter().any(|draw| draw.client_kinds.contains(&kind)), "{kind:?}");
    }
    for faults in SYSCALL_FAULTS {
        let drawn = |draw: &Draw| draw.faults.as_deref().is_some_and(|drawn| drawn.ends_with(faults));
        assert!(draws.iter().any(drawn), "{faults}");
    }
    for signals in SIGNAL_SEQUENCES {
        assert!(soak_faults()
            .any(|soak_fault| matches!(soak_fault, SoakFault::End(_, drawn) if *drawn == signals)));
    }
    assert!(
        draws.iter().any(|draw| draw.aggregators >= 20) && draws.iter().any(|draw| draw.aggregators == 1)
    );
    assert!(soak_faults().any(|soak_fault| matches!(soak_fault, SoakFault::Upgrade(_))));
    assert!(soak_faults().any(|soak_fault| matches!(soak_fault, SoakFault::Discovery(Mode::Silent, _))));
    assert!(draws.iter().all(|draw| draw.soak_faults.iter().all(|(at, _)| *at <= RUN_S * 500.0)));
}
