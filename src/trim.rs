//! Chooses the parts to leave out of a query while the fleet is busy, if its class allows partial answers.

use crate::api::Class;

/// Weight to keep above the class's least share, as some parts may be late.
const SHARE_MARGIN: f64 = 0.15;
/// Least ratio by which leaving parts out has to raise the worth per work.
const MIN_GAIN: f64 = 1.2;

/// Returns the indexes of the lightest parts if leaving them out raises the worth per work enough, or none.
/// These are the parts below the mean weight and, under pressure, all that the least share does not need.
pub fn parts_to_leave_out(weights: &[f64], class: &Class, pressed: bool) -> Vec<usize> {
    let (target_share, all) = (class.least_share + SHARE_MARGIN, weights.len() as f64);
    let mut order: Vec<_> = (0..weights.len()).collect();
    order.sort_by(|a, b| weights[*b].total_cmp(&weights[*a]));
    let (mut share, mut kept) = (0.0, 0);
    let heavy = |index: usize| !pressed && weights[index] * all >= 1.0;
    while kept < weights.len() && (share < target_share || heavy(order[kept])) {
        share += weights[order[kept]];
        kept += 1;
    }
    if target_share < class.whole_from && class.partial_worth * share * all > MIN_GAIN * kept as f64 {
        order.split_off(kept)
    } else {
        Vec::new()
    }
}
