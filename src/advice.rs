//! How long a client that is refused is told to stay away.
//!
//! Of those that come back, as many are refused again as now, if nothing has changed meanwhile: with a share `s` refused,
//! one gets through after `1 / (1 - s)` tries on average. Each wait is made so much longer, so that repeats
//! of refused queries are no more than the fleet can take, and it is scattered, so that those refused together do not come
//! back together.

use serde::{Deserialize, Serialize};

use crate::api::Millis;
use crate::faded::Faded;

/// The wait while little is refused, of the aim.
const OF_AIM: f64 = 0.25;
/// Waits lie within this part of their middle, to both sides.
const SCATTER: f64 = 0.5;
/// Weight of a query in the share that is refused, and the most that share counts for.
const STEP: f64 = 0.06;
const MOST_REFUSED: f64 = 0.9;

/// The share of queries that were refused lately.
#[derive(Debug, Default, Clone, Copy, Serialize, Deserialize)]
pub struct Advice(Faded);

impl Advice {
    /// A query was taken up, or refused; half of what is known fades in some time.
    pub fn note(&mut self, refused: bool, now: Millis, half: Millis) {
        self.0.note(f64::from(u8::from(refused)), STEP, now, half);
    }

    /// How long to stay away, for a class of some aim, where clients heed no longer waits than `most`; chance is from 0
    /// to 1.
    pub fn wait(self, aim: Millis, most: Millis, (now, half): (Millis, Millis), chance: f64) -> Millis {
        let refused = self.0.at(now, half).min(MOST_REFUSED);
        let wait = aim * OF_AIM / (1.0 - refused);
        wait.min(most / (1.0 + SCATTER)) * (1.0 - SCATTER + 2.0 * SCATTER * chance)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::hash::draw;

    #[test]
    fn those_refused_together_come_back_scattered_and_later_the_more_are_refused() {
        let mut chance = 7;
        let mut waits = |advice: Advice| {
            let mut all: Vec<_> =
                (0..100).map(|_| advice.wait(400.0, 2000.0, (1000.0, 4000.0), draw(&mut chance))).collect();
            all.sort_by(f64::total_cmp);
            (all[5], all[50], all[95])
        };
        let (first, calm, last) = waits(Advice::default());
        assert!(last > 2.0 * first, "{first} {last}");
        assert!((90.0..110.0).contains(&calm), "{calm}");
        let mut advice = Advice::default();
        (0..100).for_each(|no| advice.note(no % 4 > 0, 1000.0, 4000.0));
        let (_, pressed, _) = waits(advice);
        assert!((300.0..500.0).contains(&pressed), "three in four are refused: {pressed}");
        assert!(advice.wait(400.0, 0.0, (1000.0, 4000.0), 0.9) == 0.0, "where clients heed none");
        assert!(advice.wait(1e6, 2000.0, (1000.0, 4000.0), 1.0) <= 2000.0);
    }

    #[test]
    fn what_was_refused_long_ago_counts_for_nothing() {
        let mut advice = Advice::default();
        (0..200).for_each(|_| advice.note(true, 0.0, 4000.0));
        assert!(advice.wait(400.0, 9000.0, (0.0, 4000.0), 0.5) > 900.0);
        assert!(advice.wait(400.0, 9000.0, (60_000.0, 4000.0), 0.5) < 110.0);
    }
}
