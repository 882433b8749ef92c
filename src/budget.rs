//! The stated limit on attempts past the first of each part, within a window.

use serde::{Deserialize, Serialize};

use crate::api::{AttemptBudget, Millis};

/// What was taken (queries and parts), and sent again (true), within the window.
#[derive(Debug, Default, Clone, Serialize, Deserialize)]
pub struct Spent(Vec<(Millis, bool)>);

impl Spent {
    /// Something was taken, or sent again.
    pub fn note(&mut self, rule: Option<AttemptBudget>, now: Millis, again: bool) {
        if let Some(rule) = rule {
            self.0.push((now, again));
            self.0.retain(|(at, _)| *at >= now - rule.window);
        }
    }

    /// Whether one more may be sent again.
    pub fn allows(&self, rule: Option<AttemptBudget>, now: Millis) -> bool {
        rule.is_none_or(|rule| {
            let since = now - rule.window;
            let made = self.0.iter().filter(|(at, again)| *again && *at >= since).count() as f64;
            let taken = self.0.iter().filter(|(at, again)| !again && *at > since).count() as f64;
            made + 1.0 <= rule.free + rule.ratio * taken
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_was_taken_in_the_window_allows_its_share_and_no_more() {
        let rule = Some(AttemptBudget { free: 1.0, ratio: 0.1, window: 100.0 });
        let mut spent = Spent::default();
        (0..10).for_each(|_| spent.note(rule, 10.0, false));
        for now in [20.0, 30.0] {
            assert!(spent.allows(rule, now));
            spent.note(rule, now, true);
        }
        assert!(!spent.allows(rule, 40.0));
        // What was taken leaves the window before what was sent again for it.
        assert!(!spent.allows(rule, 110.0) && spent.allows(rule, 130.1));
        assert!(spent.allows(None, 40.0), "without a rule there is no limit");
    }
}
