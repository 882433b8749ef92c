use super::*;

#[test]
fn a_tenant_has_its_share_of_each_router_and_a_clump_and_is_beyond_it_while_it_asks_for_more() {
    let tenants = [Tenant { quota_per_s: 20.0 }];
    let within = |every: usize| {
        let mut quotas = Quotas::new(&tenants, 0.0);
        let at = (0..10_000).step_by(every);
        at.filter(|now| quotas.take(0, &tenants, 2, f64::from(*now))).count()
    };
    // Ten a second are its part; of a hundred a second only the clump of the first moment is within it.
    assert_eq!(within(100), 100);
    assert!((10..=12).contains(&within(10)), "{}", within(10));
    assert!(Quotas::new(&tenants, 0.0).take(7, &tenants, 2, 0.0), "no such tenant");
}
