//! Counts of what the aggregator takes in, sends and answers, printed on request and at exit.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use crate::api::Outcome;
use crate::core::FinalAnswer;

/// How the requests of a class ended. One whose client left first is in none of these.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Ends {
    /// Served, whole or from some parts.
    pub ok: u64,
    /// Refused: asking again is harmless.
    pub shed: u64,
    /// Failed, or not taken as it could not be used.
    pub errors: u64,
}

/// What is so just now, beside the counts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Gauges {
    /// Requests taken and not ended.
    pub active: usize,
    /// Run stores in the list.
    pub pool_size: usize,
    /// Of these, run stores that get nothing new.
    pub pool_ejected: usize,
}

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
    /// Ends by class, of every class that there has been.
    pub classes: BTreeMap<Arc<str>, Ends>,
    /// Of those refused or failed: how many, by class and the cause's code.
    pub causes: BTreeMap<(Arc<str>, &'static str), u64>,
    /// Attempts written whole to a run store.
    pub tries: u64,
    /// Attempts handed to a transport.
    pub sent: u64,
    /// Probes made.
    pub probes: u64,
    /// Ends of attempts: completed, errored, rejected, timed out, not connected, reset, cancelled, not sent.
    pub ends: [u64; 8],
    /// Configurations taken at SIGHUP.
    pub config_applied: u64,
    /// Configurations turned down at SIGHUP.
    pub config_rejected: u64,
    /// Run stores of which the core keeps anything just now, and the transport.
    pub run_stores: usize,
    /// See `run_stores`.
    pub places: usize,
}

impl Counters {
    pub(crate) fn answered(&mut self, class: &Arc<str>, verdict: &FinalAnswer) {
        let ends = self.classes.entry(class.clone()).or_default();
        *match verdict {
            FinalAnswer::Served { .. } => &mut ends.ok,
            FinalAnswer::Refused { .. } => &mut ends.shed,
            FinalAnswer::Failed { .. } => &mut ends.errors,
        } += 1;
        *match verdict {
            FinalAnswer::Served { whole: true, .. } => &mut self.whole,
            FinalAnswer::Served { whole: false, .. } => &mut self.partial,
            FinalAnswer::Refused { .. } => &mut self.refused,
            FinalAnswer::Failed { .. } => &mut self.failed,
        } += 1;
        if let Some(cause) = verdict.cause() {
            *self.causes.entry((class.clone(), cause.code())).or_default() += 1;
        }
    }

    /// A request was answered with a 4xx before it became a query. It counts as an error of a class that there is
    /// or has been; other names, of which clients may think up any number, are not kept.
    pub(crate) fn not_taken(&mut self, class: &str) {
        self.malformed += 1;
        if let Some(ends) = self.classes.get_mut(class) {
            ends.errors += 1;
        }
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

/// The figures in StatsD's form, a line each: counts `|c`, gauges `|g`.
pub fn stats(counters: &Counters, gauges: &Gauges) -> String {
    let ends = |(class, ends): (&Arc<str>, &Ends)| {
        [("ok", ends.ok), ("shed", ends.shed), ("errors", ends.errors)]
            .map(|(end, count)| format!("aggregator.responses.{class}.{end}:{count}|c\n"))
            .concat()
    };
    let mut text: String = counters.classes.iter().map(ends).collect();
    for ((class, cause), count) in &counters.causes {
        text += &format!("aggregator.causes.{class}.{cause}:{count}|c\n");
    }
    let count = |name: &str, count: u64| format!("aggregator.{name}:{count}|c\n");
    text += &count("tries", counters.tries);
    let gauge = |name: &str, value: usize| format!("aggregator.{name}:{value}|g\n");
    text += &gauge("active", gauges.active);
    text += &gauge("pool_size", gauges.pool_size);
    text += &gauge("pool_ejected", gauges.pool_ejected);
    text += &count("config_applied", counters.config_applied);
    text + &count("config_rejected", counters.config_rejected)
}

impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [completed, errored, rejected, timed_out, not_connected, reset, cancelled, not_sent] = self.ends;
        write!(
            f,
            "taken={} turned_away={} whole={} partial={} refused={} failed={} clients_gone={} malformed={} \
             sent={} tries={} probes={} completed={completed} errored={errored} rejected={rejected} \
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
            self.tries,
            self.probes,
            self.run_stores,
            self.places,
        )
    }
}
