//! Decides when to ask the discovery service for the list of replicas.
//!
//! All routers ask the same service, which handles calls one after another, and their calls tend to fail at
//! the same moment. Backoff therefore grows with the number of routers and is jittered.

use serde::{Deserialize, Serialize};

use crate::api::Millis;

/// Up to this many routers, each backs off as if it were alone. With more, the backoff grows in proportion,
/// so that all routers together ask no more often than this many would.
const UNSCALED_ROUTERS: f64 = 4.0;
/// The backoff after `n` failures in a row is this share of the shortest aim times 2^n, before jitter.
const BACKOFF_OF_AIM: f64 = 0.25;
/// Upper bound of `n` in the backoff.
const MAX_DOUBLINGS: u32 = 5;
/// Time after which a call without an answer is made again, as a multiple of the shortest aim.
const REPEAT_AIMS: f64 = 8.0;

/// Longest time until a change of the list reaches a router, from when the discovery service has the change
/// and can be reached. After that the change counts as received even if it has not come, so calls, watches
/// and backoff are bounded so that the next list arrives within this time.
pub const MAX_LIST_DELAY: Millis = 6000.0;
/// Time from the start of the connect after which a call for the whole list is repeated on a second
/// connection, as the service may only be slow; both end after twice this time. The service handles calls
/// one after another and itself fails those that waited this long.
pub const CALL_TIMEOUT: Millis = 2000.0;
/// Longest backoff after a failed call. The failed call may have started just before the service came back,
/// and one more has to complete in time after the backoff.
pub const MAX_BACKOFF: Millis = MAX_LIST_DELAY - 2.0 * CALL_TIMEOUT;
/// How long after the end of its wait a watch may still be answered before it counts as silent: time for
/// the service to answer the watches of all routers at once.
pub const WATCH_GRACE: Millis = 750.0;
/// Routers spread the calls that reopen silent watches over this time.
const REOPEN_JITTER: Millis = 250.0;
/// How long a watch asks the service to wait for a change. If a watch goes silent, the call that reopens it
/// still delivers a missed change in time.
pub const WATCH_WAIT: Millis = MAX_LIST_DELAY - WATCH_GRACE - REOPEN_JITTER - CALL_TIMEOUT;
/// Delay before a broken watch on the agent (see [`WatchSchedule`]) is reopened. The agent keeps a watch
/// alive if the next call comes within 200 ms of the last answer; the other half of that is left for the call
/// itself.
const REOPEN_DELAY: Millis = 100.0;

/// Requests of one router for the list. A request is due whenever changes do not arrive by themselves.
#[derive(Debug, Default, Clone, Serialize, Deserialize)]
pub struct ListRequests {
    /// Whether changes arrive without a request.
    #[serde(rename = "on")]
    subscribed: bool,
    /// When the next request is due.
    #[serde(rename = "at")]
    next_request_at: Millis,
    failures: u32,
}

impl ListRequests {
    /// Records that a list arrived. `from_service` is false for a cached list.
    pub fn record_list(&mut self, from_service: bool) {
        self.subscribed = from_service;
        self.failures = 0;
    }

    /// Records a failed call and schedules the next. The backoff grows with the shortest aim, the failures
    /// in a row and the number of routers, up to the smaller of [`MAX_BACKOFF`] and `refresh_within`. It is
    /// jittered by a random number from 0 to 1.
    pub fn record_failure(
        &mut self,
        now: Millis,
        aim: Millis,
        (refresh_within, routers): (Millis, u32),
        random: f64,
    ) {
        self.subscribed = false;
        self.failures = (self.failures + 1).min(MAX_DOUBLINGS);
        let routers_factor = (f64::from(routers) / UNSCALED_ROUTERS).max(1.0);
        let wait = aim * BACKOFF_OF_AIM * routers_factor * f64::from(1u32 << self.failures) * (0.5 + random);
        self.next_request_at = now + wait.min(refresh_within.min(MAX_BACKOFF) * (0.5 + 0.5 * random));
    }

    /// Returns whether to send a request now, and if so schedules a repeat for the case that no answer
    /// comes.
    pub fn start_if_due(&mut self, now: Millis, aim: Millis) -> bool {
        let due = !self.subscribed && now >= self.next_request_at;
        if due {
            self.next_request_at = now + aim * REPEAT_AIMS;
        }
        due
    }
}

/// Schedules the reopening of a broken watch on the list, independent of the requests that the router makes.
///
/// Pushed lists come from the process's own agent. A broken watch on it is always reopened: a change that the
/// agent has counts as received, and calls to the agent put no load on a shared service. A watch on the
/// discovery service, which all routers share, is reopened here only if it went silent. If a call failed,
/// the service is overloaded, and the next call is left to the backoff of [`ListRequests`]. Silence does not
/// show that, and a change that is missed during it soon counts as received.
#[derive(Debug, Clone)]
pub struct WatchSchedule(State);

#[derive(Debug, Clone, Copy)]
enum State {
    /// Broken: to be reopened after this delay, which starts at the next step.
    Broken(Millis),
    /// To be opened at this time.
    Due(Millis),
    Open,
}

impl WatchSchedule {
    /// Creates a schedule for a watch on the agent, to be opened at once.
    pub fn for_agent() -> Self {
        WatchSchedule(State::Due(0.0))
    }

    /// Creates a schedule for a watch on the discovery service, which the router opens.
    pub fn for_service() -> Self {
        WatchSchedule(State::Open)
    }

    /// Marks the watch on the agent as broken.
    pub fn mark_broken(&mut self) {
        self.0 = State::Broken(REOPEN_DELAY);
    }

    /// Marks the watch on the discovery service as silent. The watches of all routers may have gone silent
    /// at once, so the reopening is spread by a random number from 0 to 1. It still comes before a missed
    /// change counts as received.
    pub fn mark_silent(&mut self, random: f64) {
        self.0 = State::Broken(REOPEN_JITTER * random);
    }

    /// Returns whether the watch has broken and its reopening is not scheduled yet.
    pub fn is_broken(&self) -> bool {
        matches!(self.0, State::Broken(_))
    }

    /// Returns when to open the watch, if that is scheduled.
    pub fn due_at(&self) -> Option<Millis> {
        match self.0 {
            State::Due(at) => Some(at),
            State::Broken(_) | State::Open => None,
        }
    }

    /// Returns whether to open the watch now. It then counts as open until it is marked as broken or
    /// silent.
    pub fn open_if_due(&mut self, now: Millis) -> bool {
        if let State::Broken(after) = self.0 {
            self.0 = State::Due(now + after);
        }
        let open_now = self.due_at().is_some_and(|at| now >= at);
        if open_now {
            self.0 = State::Open;
        }
        open_now
    }
}
