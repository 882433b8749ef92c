//! Which parts of a query that may be answered in part are worth their work while the fleet is busy.

use crate::api::Class;

/// Weight kept above the least share, as some parts may be late, and the least gain in worth for work.
const KEEPS: f64 = 0.15;
const GAIN: f64 = 1.2;

/// Returns the positions of the lightest parts, where leaving them out earns more for the work: those of less
/// than the mean weight and, while queries are slow, all that the least share does not need. Empty where the
/// gain is too small.
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
    if goal < class.whole_from && class.partial_earns * share * all > GAIN * kept as f64 {
        order.split_off(kept)
    } else {
        Vec::new()
    }
}
