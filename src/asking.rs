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

/// How long a watch asks the service to wait for news: short enough to notice early that it hangs.
pub const WAIT: Millis = 5000.0;
/// How much later than that an answer may come before the watch counts as silent, and when what a silent one missed
/// counts as told, whether or not it arrived.
pub const SILENT_AFTER: Millis = 1500.0;
const TOLD_AFTER: Millis = 2000.0;
/// How soon a watch on pushed lists is begun again after it broke: a watch goes on as long as its next call comes
/// within 200 ms of the last answer, and half of that is left for the call's own way.
const AGAIN: Millis = 100.0;

/// A watch that is to be begun again soon after it broke, at no wish of the router. Lists that are pushed come to an
/// agent of one's own, which is watched at all times: what it holds counts as told, and asking costs nobody else
/// anything. A watch on the service of all routers is opened anew by this only if it fell silent: a call that failed
/// says that the service has too much to do, but silence says nothing, and all that it hides soon counts as told.
#[derive(Debug, Clone)]
pub struct Watching(State);

#[derive(Debug, Clone, Copy)]
enum State {
    /// It is to begin again after so long.
    Broken(Millis),
    /// It is to begin.
    Due(Millis),
    On,
}

impl Watching {
    /// A watch on an agent, to begin at once.
    pub fn an_agent() -> Self {
        Watching(State::Due(0.0))
    }

    /// A watch on the service, which the router begins.
    pub fn the_service() -> Self {
        Watching(State::On)
    }

    /// The watch on the agent has broken.
    pub fn broken(&mut self) {
        self.0 = State::Broken(AGAIN);
    }

    /// The watch on the service has fallen silent, maybe those of all routers at once: all open it anew before what it
    /// missed counts as told, scattered by chance (0 to 1), as the service works through calls in turn.
    pub fn silent(&mut self, chance: f64) {
        self.0 = State::Broken((TOLD_AFTER - SILENT_AFTER) * chance);
    }

    /// Whether it has broken, and when to begin it is still to be said.
    pub fn is_broken(&self) -> bool {
        matches!(self.0, State::Broken(_))
    }

    /// When to begin the watch, if it is not on.
    pub fn due(&self) -> Option<Millis> {
        match self.0 {
            State::Due(at) => Some(at),
            State::Broken(_) | State::On => None,
        }
    }

    /// Whether to begin it now. It is on from then until it is told to have broken.
    pub fn begins(&mut self, now: Millis) -> bool {
        if let State::Broken(after) = self.0 {
            self.0 = State::Due(now + after);
        }
        let begins = self.due().is_some_and(|at| now >= at);
        if begins {
            self.0 = State::On;
        }
        begins
    }
}

#[cfg(test)]
mod tests {
    use std::collections::VecDeque;

    use super::{Asking, Watching, SILENT_AFTER, TOLD_AFTER};
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
        let mut agent = Watching::an_agent();
        assert_eq!(agent.due(), Some(0.0));
        assert!(agent.begins(5.0) && !agent.begins(6.0));
        assert_eq!(agent.due(), None);
        agent.broken();
        assert!(!agent.begins(1000.0));
        // The watch goes on if its next call comes within 200 ms.
        let again = agent.due().unwrap();
        assert!(again < 1200.0 && !agent.begins(again - 1.0) && agent.begins(again));
    }

    #[test]
    fn silent_watches_are_opened_anew_before_what_they_missed_counts_as_told_and_not_all_at_once() {
        let mut chance = 7;
        let mut watches = vec![Watching::the_service(); 300];
        assert!(watches.iter_mut().all(|watch| !watch.begins(0.0) && watch.due().is_none()));
        watches.iter_mut().for_each(|watch| watch.silent(draw(&mut chance)));
        // Each is silent so long after its wait, and what it missed counts as told so much later.
        let left = TOLD_AFTER - SILENT_AFTER;
        let mut begun = vec![0; 5];
        for now in 0..500 {
            let count =
                watches.iter_mut().filter_map(|watch| watch.begins(f64::from(now)).then_some(())).count();
            begun[now as usize / 100] += count;
        }
        let last = watches.iter_mut().filter_map(|watch| watch.begins(left).then_some(())).count();
        assert_eq!(begun.iter().sum::<usize>() + last, 300);
        assert!(begun.iter().all(|count| (30..=90).contains(count)), "{begun:?}");
    }
}
