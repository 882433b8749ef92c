//! Counts of what the aggregator takes in, sends and answers, printed on request and at exit.

use std::fmt;

use crate::api::Outcome;
use crate::core::Verdict;

/// The counts since the start.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Counters {
    /// Queries taken.
    pub taken: u64,
    /// Of these, turned away at the limit on what is held.
    pub turned_away: u64,
    /// Answered whole.
    pub whole: u64,
    /// Answered from some parts.
    pub partial: u64,
    /// Refused by the router.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// Left by their clients before an answer.
    pub clients_gone: u64,
    /// Requests answered with a 4xx or 5xx before they became queries.
    pub malformed: u64,
    /// Attempts handed to a transport.
    pub sent: u64,
    /// Probes made.
    pub probes: u64,
    /// Ends of attempts: completed, errored, rejected, timed out, not connected, reset, cancelled, not sent.
    pub ends: [u64; 8],
    /// Run stores of which the core keeps anything just now, and the transport.
    pub run_stores: usize,
    /// See `run_stores`.
    pub places: usize,
}

impl Counters {
    pub(crate) fn answered(&mut self, verdict: &Verdict) {
        *match verdict {
            Verdict::Served { whole: true, .. } => &mut self.whole,
            Verdict::Served { whole: false, .. } => &mut self.partial,
            Verdict::Refused { .. } => &mut self.refused,
            Verdict::Failed { .. } => &mut self.failed,
        } += 1;
    }

    pub(crate) fn ended(&mut self, outcome: Outcome) {
        self.ends[match outcome {
            Outcome::Completed => 0,
            Outcome::Errored => 1,
            Outcome::Rejected => 2,
            Outcome::TimedOut => 3,
            Outcome::ConnectFailed => 4,
            Outcome::Reset => 5,
            Outcome::Cancelled => 6,
            Outcome::NotSent => 7,
        }] += 1;
    }
}

impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [completed, errored, rejected, timed_out, not_connected, reset, cancelled, not_sent] = self.ends;
        write!(
            f,
            "taken={} turned_away={} whole={} partial={} refused={} failed={} clients_gone={} malformed={} \
             sent={} probes={} completed={completed} errored={errored} rejected={rejected} \
             timed_out={timed_out} not_connected={not_connected} reset={reset} cancelled={cancelled} \
             not_sent={not_sent} run_stores={} places={}",
            self.taken,
            self.turned_away,
            self.whole,
            self.partial,
            self.refused,
            self.failed,
            self.clients_gone,
            self.malformed,
            self.sent,
            self.probes,
            self.run_stores,
            self.places,
        )
    }
}
