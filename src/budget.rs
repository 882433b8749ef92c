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
    pub fn record(&mut self, rule: Option<AttemptBudget>, now: Millis, retry: bool) {
        if let Some(rule) = rule {
            self.0.push_back((now, retry));
            while self.0.front().is_some_and(|(at, _)| *at < now - rule.window) {
                self.0.pop_front();
            }
        }
    }

    /// Returns whether one more part may be sent again.
    pub fn allows_retry(&self, rule: Option<AttemptBudget>, now: Millis) -> bool {
        rule.is_none_or(|rule| {
            let since = now - rule.window;
            let retries = self.0.iter().filter(|(at, retry)| *retry && *at >= since).count() as f64;
            let accepted = self.0.iter().filter(|(at, retry)| !retry && *at > since).count() as f64;
            retries + 1.0 <= rule.base_attempts + rule.ratio * accepted
        })
    }
}

#[cfg(test)]
mod tests;
