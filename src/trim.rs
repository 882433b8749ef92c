//! Chooses the parts to leave out of a query while the fleet is busy, if its class allows partial answers.

use crate::api::Class;

/// Weight to keep above the class's least share, as some parts may be late, and the least ratio by which
/// the worth per work has to grow.
const KEEPS: f64 = 0.15;
const GAIN: f64 = 1.2;

/// Returns the indexes of the lightest parts if leaving them out raises the worth per work enough, or none.
/// These are the parts below the mean weight and, under pressure, all that the least share does not need.
pub fn lightest(weights: &[f64], class: &Class, pressed: bool) -> Vec<usize> {
    let (goal, all) = (class.least_share + KEEPS, weights.len() as f64);
    let mut order: Vec<_> = (0..weights.len()).collect();
    order.sort_by(|a, b| weights[*b].total_cmp(&weights[*a]));
    let (mut share, mut kept) = (0.0, 0);
    let heavy = |index: usize| !pressed && weights[index] * all >= 1.0;
    while kept < weights.len() && (share < goal || heavy(order[kept])) {
        share += weights[order[kept]];
        kept += 1;
    }
    if goal < class.whole_from && class.partial_worth * share * all > GAIN * kept as f64 {
        order.split_off(kept)
    } else {
        Vec::new()
    }
}
