//! When to ask the discovery service for the list. Every router of a fleet asks the same service, which works
//! through calls in turn: what each does after a failure, all do at once.

use serde::{Deserialize, Serialize};

use crate::api::Millis;

/// Routers up to which one waits after a failure as if it were alone. Of more, each waits longer in proportion,
/// so that all together ask no more often than so many.
const FEW: f64 = 4.0;
/// Half the first wait after a failure, of the aim, and how often it doubles with failures in a row.
const WAIT_OF_AIM: f64 = 0.25;
const DOUBLINGS: u32 = 5;
/// Aims after which a call has failed.
const PATIENCE: f64 = 8.0;

/// The asking of one router. It is asked for whenever it is not on.
#[derive(Debug, Default, Clone, Serialize, Deserialize)]
pub struct Asking {
    /// Whether news come by themselves.
    on: bool,
    /// When to ask next.
    at: Millis,
    failures: u32,
}

impl Asking {
    /// News came from the service, or (`false`) an old list from elsewhere.
    pub fn told(&mut self, by_service: bool) {
        self.on = by_service;
        self.failures = 0;
    }

    /// A call failed, of one of so many routers that are to ask within some time. Waits grow with the shortest aim of
    /// queries and from failure to failure, and are scattered by chance (0 to 1).
    pub fn failed(&mut self, now: Millis, aim: Millis, (within, routers): (Millis, u32), chance: f64) {
        self.on = false;
        self.failures = (self.failures + 1).min(DOUBLINGS);
        let crowd = (f64::from(routers) / FEW).max(1.0);
        let wait = aim * WAIT_OF_AIM * crowd * f64::from(1u32 << self.failures) * (0.5 + chance);
        self.at = now + wait.min(within * (0.5 + 0.5 * chance));
    }

    /// Whether to ask now. After some aims a call of which nothing is heard is made again.
    pub fn is_due(&mut self, now: Millis, aim: Millis) -> bool {
        let due = !self.on && now >= self.at;
        if due {
            self.at = now + aim * PATIENCE;
        }
        due
    }
}

/// How soon a watch on pushed lists is begun again after it broke: a watch goes on as long as its next call comes
/// within 200 ms of the last answer, and half of that is left for the call's own way.
const AGAIN: Millis = 100.0;

/// The watch on an agent of one's own, to which lists are pushed. What the agent holds counts as told, so that it is
/// watched at all times; asking costs nobody else anything.
#[derive(Debug, Clone)]
pub struct Agent {
    watch: Watch,
}

#[derive(Debug, Clone, Copy)]
enum Watch {
    Broken,
    /// It is to begin.
    Due(Millis),
    On,
}

impl Default for Agent {
    fn default() -> Self {
        Agent { watch: Watch::Due(0.0) }
    }
}

impl Agent {
    /// The watch has broken.
    pub fn broken(&mut self) {
        self.watch = Watch::Broken;
    }

    /// When to begin the watch, if it is not on.
    pub fn due(&self) -> Option<Millis> {
        match self.watch {
            Watch::Due(at) => Some(at),
            Watch::Broken | Watch::On => None,
        }
    }

    /// Whether to begin it now. It is on from then until it is told to have broken.
    pub fn begins(&mut self, now: Millis) -> bool {
        if let Watch::Broken = self.watch {
            self.watch = Watch::Due(now + AGAIN);
        }
        let begins = self.due().is_some_and(|at| now >= at);
        if begins {
            self.watch = Watch::On;
        }
        begins
    }
}

#[cfg(test)]
mod tests {
    use std::collections::VecDeque;

    use super::{Agent, Asking};
    use crate::hash::draw;

    /// A service that answers in turn, each call in so many milliseconds, and fails what has waited for 2 s: calls
    /// that wait in vain take up none of its time. Returns when each of `routers` was told, if it was within a minute.
    fn told(routers: u32, aim: f64, each: u32) -> Vec<Option<u32>> {
        let mut asking = vec![Asking::default(); routers as usize];
        let mut told = vec![None; routers as usize];
        let (mut queue, mut chance, mut free) = (VecDeque::new(), 7, 0);
        for now in 0..60_000 {
            for (at, asking) in asking.iter_mut().enumerate() {
                if asking.is_due(f64::from(now), 1e9) {
                    queue.push_back((at, now));
                }
            }
            while queue.front().is_some_and(|(_, since)| now - since >= 2000) {
                let Some((at, _)) = queue.pop_front() else { break };
                let chance = draw(&mut chance);
                asking[at].failed(f64::from(now), aim, (10_000.0, routers), chance);
            }
            if now >= free {
                if let Some((at, _)) = queue.pop_front() {
                    asking[at].told(true);
                    told[at] = Some(now);
                    free = now + each;
                }
            }
        }
        told
    }

    #[test]
    fn a_hundred_routers_that_start_at_once_are_all_told_by_a_service_with_little_room() {
        // 20 calls a second: 2 s of the start's calls are answered, and the rest must not keep it full.
        let told = told(100, 380.0, 50);
        assert!(told.iter().all(Option::is_some), "{told:?}");
        assert!(told.iter().flatten().max() < Some(&20_000), "{told:?}");
    }

    #[test]
    fn few_routers_ask_again_as_soon_as_a_lone_one() {
        let wait = |routers| {
            let mut asking = Asking::default();
            asking.failed(0.0, 400.0, (10_000.0, routers), 0.5);
            asking.at
        };
        assert_eq!(wait(1), 200.0);
        assert_eq!(wait(4), 200.0);
        assert_eq!(wait(100), 5000.0);
    }

    #[test]
    fn an_agent_is_watched_at_once_and_again_soon_after_each_break() {
        let mut agent = Agent::default();
        assert_eq!(agent.due(), Some(0.0));
        assert!(agent.begins(5.0) && !agent.begins(6.0));
        assert_eq!(agent.due(), None);
        agent.broken();
        assert!(!agent.begins(1000.0));
        // The watch goes on if its next call comes within 200 ms.
        let again = agent.due().unwrap();
        assert!(again < 1200.0 && !agent.begins(again - 1.0) && agent.begins(again));
    }
}
