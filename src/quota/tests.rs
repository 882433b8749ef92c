use super::*;

#[test]
fn a_tenant_has_an_even_part_of_its_quota_and_a_burst_at_each_router() {
    let tenants = [Tenant { quota_per_s: 20.0 }];
    let within = |every: usize| {
        let mut quotas = Quotas::new(&tenants, 0.0);
        let at = (0..10_000).step_by(every);
        at.filter(|now| quotas.charge(0, &tenants, 2, f64::from(*now))).count()
    };
    // Its part is ten queries per second. At a hundred per second only the initial burst is within it.
    assert_eq!(within(100), 100);
    assert!((10..=12).contains(&within(10)), "{}", within(10));
    assert!(Quotas::new(&tenants, 0.0).charge(7, &tenants, 2, 0.0), "an unknown tenant has no quota");
}
