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

/// A change of the list counts as told so long after the service had it and could be reached, whether or not it has
/// come: whatever becomes of calls and watches, the next list is here by then.
pub const TOLD_WITHIN: Millis = 6000.0;
/// How long a call may take that does not wait for news, from its connecting on. The service works through calls in
/// turn, and fails itself what has waited for so long. One for the whole list is then made once more, on another
/// connection, while the first goes on for as long again: a service may be slow.
pub const CALL: Millis = 2000.0;
/// The longest pause after a call that failed: one may have begun just before the service could be reached again, and
/// one more has to be over in time after it.
pub const LONGEST_PAUSE: Millis = TOLD_WITHIN - 2.0 * CALL;
/// How much later than the end of its wait the answer of a watch may come before the watch counts as silent: what the
/// service has to do at once for all.
pub const SILENT_AFTER: Millis = 750.0;
/// The time over which routers scatter the calls by which they open silent watches anew.
const REOPENED_OVER: Millis = 250.0;
/// How long a watch asks the service to wait for news. A change that a silent watch missed is here in time by the
/// call that opens it anew.
pub const WAIT: Millis = TOLD_WITHIN - SILENT_AFTER - REOPENED_OVER - CALL;
/// How soon a watch on pushed lists is begun again after it broke: a watch goes on as long as its next call comes
/// within 200 ms of the last answer, and half of that is left for the call's own way.
const AGAIN: Millis = 100.0;

/// The asking of one router. It is asked for whenever it is not on.
#[derive(Debug, Default, Clone, Serialize, Deserialize)]
pub struct ListRequests {
    /// Whether news come by themselves.
    on: bool,
    /// When to ask next.
    at: Millis,
    failures: u32,
}

impl ListRequests {
    /// News came from the service, or (`false`) an old list from elsewhere.
    pub fn told(&mut self, by_service: bool) {
        self.on = by_service;
        self.failures = 0;
    }

    /// A call failed, of one of so many routers that are to ask within some time. Waits grow with the shortest aim of
    /// queries and from failure to failure, up to the longest that still tells in time, and are scattered by chance (0
    /// to 1).
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

/// A watch that is to be begun again soon after it broke, at no wish of the router. Lists that are pushed come to an
/// agent of one's own, which is watched at all times: what it holds counts as told, and asking costs nobody else
/// anything. A watch on the service of all routers is opened anew by this only if it fell silent: a call that failed
/// says that the service has too much to do, but silence says nothing, and all that it hides soon counts as told.
#[derive(Debug, Clone)]
pub struct WatchSchedule(State);

#[derive(Debug, Clone, Copy)]
enum State {
    /// It is to begin again after so long.
    Broken(Millis),
    /// It is to begin.
    Due(Millis),
    On,
}

impl WatchSchedule {
    /// A watch on an agent, to begin at once.
    pub fn an_agent() -> Self {
        WatchSchedule(State::Due(0.0))
    }

    /// A watch on the service, which the router begins.
    pub fn the_service() -> Self {
        WatchSchedule(State::On)
    }

    /// The watch on the agent has broken.
    pub fn broken(&mut self) {
        self.0 = State::Broken(AGAIN);
    }

    /// The watch on the service has fallen silent, maybe those of all routers at once: all open it anew before what it
    /// missed counts as told, scattered by chance (0 to 1), as the service works through calls in turn.
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
