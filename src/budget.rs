//! The limit on retries from the settings: attempts after the first of each part, counted in a sliding
//! window.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::api::{AttemptBudget, Millis};

/// Events in the window, oldest first: a query or part that was accepted (`false`), or a part that was sent
/// again (`true`).
#[derive(Debug, Default, Clone, Serialize, Deserialize)]
pub struct BudgetUsage(VecDeque<(Millis, bool)>);

impl BudgetUsage {
    /// Records an accepted query or part, or a part that was sent again.
    pub fn note(&mut self, rule: Option<AttemptBudget>, now: Millis, again: bool) {
        if let Some(rule) = rule {
            self.0.push_back((now, again));
            while self.0.front().is_some_and(|(at, _)| *at < now - rule.window) {
                self.0.pop_front();
            }
        }
    }

    /// Returns whether one more part may be sent again.
    pub fn allows(&self, rule: Option<AttemptBudget>, now: Millis) -> bool {
        rule.is_none_or(|rule| {
            let since = now - rule.window;
            let made = self.0.iter().filter(|(at, again)| *again && *at >= since).count() as f64;
            let taken = self.0.iter().filter(|(at, again)| !again && *at > since).count() as f64;
            made + 1.0 <= rule.base_attempts + rule.ratio * taken
        })
    }
}

#[cfg(test)]
mod tests;
