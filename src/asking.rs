//! When to ask the discovery service for the list. Every router of a fleet asks the same service, which works
//! through calls in turn: what each does after a failure, all do at once.

use serde::{Deserialize, Serialize};

use crate::api::Millis;

/// Number of routers up to which each waits after a failure as if it were alone. With more routers each waits
/// longer in proportion, so that all together ask no more often than this many.
const FEW: f64 = 4.0;
/// Half the first wait after a failure, of the aim, and how often it doubles with failures in a row.
const WAIT_OF_AIM: f64 = 0.25;
const DOUBLINGS: u32 = 5;
/// Aims after which a call has failed.
const PATIENCE: f64 = 8.0;

/// Time after which a change of the list counts as known, from when the service had it and could be reached,
/// whether or not it has arrived: even if calls or watches fail, the next list arrives within it.
pub const TOLD_WITHIN: Millis = 6000.0;
/// Timeout of a call that does not wait for news, connecting included. The service works through calls in
/// turn and itself fails those that have waited this long. A call for the whole list is then repeated on
/// another connection, while the first one goes on for as long again, as the service may only be slow.
pub const CALL: Millis = 2000.0;
/// The longest pause after a failed call: a call may have begun just before the service could be reached
/// again, and one more must end in time after it.
pub const LONGEST_PAUSE: Millis = TOLD_WITHIN - 2.0 * CALL;
/// How long after the end of its wait the answer of a watch may come before the watch counts as silent: the
/// time that the service may need to answer the watches of all routers at once.
pub const SILENT_AFTER: Millis = 750.0;
/// The time over which routers scatter the calls by which they open silent watches anew.
const REOPENED_OVER: Millis = 250.0;
/// How long a watch asks the service to wait for news. A change that a silent watch missed arrives in time
/// with the call that reopens it.
pub const WAIT: Millis = TOLD_WITHIN - SILENT_AFTER - REOPENED_OVER - CALL;
/// Pause before a broken watch on pushed lists is started again. A watch continues if its next call arrives
/// within 200 ms of the last answer; half of that is left for the call's transit.
const AGAIN: Millis = 100.0;

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

    /// Records that a call failed, for one of `routers` routers, each of which must ask at least once in
    /// `within`. The wait grows with the shortest aim of queries and with each failure, up to the longest
    /// after which the list still arrives in time, and is jittered by `chance` (0 to 1).
    pub fn failed(&mut self, now: Millis, aim: Millis, (within, routers): (Millis, u32), chance: f64) {
        self.on = false;
        self.failures = (self.failures + 1).min(DOUBLINGS);
        let crowd = (f64::from(routers) / FEW).max(1.0);
        let wait = aim * WAIT_OF_AIM * crowd * f64::from(1u32 << self.failures) * (0.5 + chance);
        self.at = now + wait.min(within.min(LONGEST_PAUSE) * (0.5 + 0.5 * chance));
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

/// A watch that is restarted soon after it broke, without a request of the router.
///
/// Pushed lists arrive at a local agent, which is watched at all times: a change that the agent holds counts
/// as known, and asking it puts load on nobody else. A watch on the service that all routers share is
/// reopened here only if it fell silent: a failed call shows that the service is overloaded, but silence
/// shows nothing, and the changes that it hides soon count as known.
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

    /// Records that the watch on the service has fallen silent, which may happen to all routers at once. Each
    /// reopens its watch before the changes that it missed count as known, jittered by `chance` (0 to 1), as
    /// the service works through calls in turn.
    pub fn silent(&mut self, chance: f64) {
        self.0 = State::Broken(REOPENED_OVER * chance);
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
