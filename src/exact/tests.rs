use super::*;
use crate::hash::draw;

#[test]
fn a_sum_depends_neither_on_the_order_nor_on_removed_terms() {
    let mut chance = 3;
    let terms: Vec<f64> =
        (0..1000).map(|_| (draw(&mut chance) - 0.5) * 10f64.powf(draw(&mut chance) * 12.0)).collect();
    let mut there = ExactSum::default();
    terms.iter().for_each(|term| there.add(*term));
    let mut back = ExactSum::default();
    for term in terms.iter().rev() {
        [f64::INFINITY, f64::NAN, 1e300].iter().for_each(|odd| back.add(*odd));
        back.add(*term);
        [f64::INFINITY, f64::NAN, 1e300].iter().for_each(|odd| back.take(*odd));
    }
    assert_eq!(there, back);
    let plain: f64 = terms.iter().sum();
    assert!((there.value() - plain).abs() <= plain.abs() * 1e-9, "{} {plain}", there.value());
    terms.iter().for_each(|term| there.take(*term));
    assert_eq!(there.value(), 0.0);
}
