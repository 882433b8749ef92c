use super::*;
use crate::hash::draw;

#[test]
fn a_sum_depends_neither_on_the_order_nor_on_removed_terms() {
    let mut chance = 3;
    let terms: Vec<f64> =
        (0..1000).map(|_| (draw(&mut chance) - 0.5) * 10f64.powf(draw(&mut chance) * 12.0)).collect();
    let mut sum_of_all = ExactSum::default();
    terms.iter().for_each(|term| sum_of_all.add(*term));
    let mut reversed = ExactSum::default();
    for term in terms.iter().rev() {
        [f64::INFINITY, f64::NAN, 1e300].iter().for_each(|odd| reversed.add(*odd));
        reversed.add(*term);
        [f64::INFINITY, f64::NAN, 1e300].iter().for_each(|odd| reversed.remove(*odd));
    }
    assert_eq!(sum_of_all, reversed);
    let plain: f64 = terms.iter().sum();
    assert!((sum_of_all.value() - plain).abs() <= plain.abs() * 1e-9, "{} {plain}", sum_of_all.value());
    terms.iter().for_each(|term| sum_of_all.remove(*term));
    assert_eq!(sum_of_all.value(), 0.0);
}
