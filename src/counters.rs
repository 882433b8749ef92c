//! Counters and gauges of the aggregator, printed on request and at exit.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use crate::api::Outcome;
use crate::core::FinalAnswer;

/// How the requests of a class ended. Requests whose clients left before an answer are not counted here.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ClassOutcomes {
    /// Served with a whole or a partial answer.
    pub ok: u64,
    /// Refused: a retry is safe.
    pub shed: u64,
    /// Failed, or rejected as invalid.
    pub errors: u64,
}

/// The gauges: current values, in contrast to the counters.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Gauges {
    /// Open queries.
    pub active: usize,
    /// Listed run stores.
    pub pool_size: usize,
    /// Listed run stores that are parked or draining, so that they get no new parts.
    pub pool_ejected: usize,
}

/// The counters since the start of the process.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Counters {
    /// Accepted queries.
    pub taken: u64,
    /// Accepted queries that were refused before the router saw them, at the limit on open queries and parts
    /// or because their time was over.
    pub turned_away: u64,
    /// Queries with a whole answer.
    pub whole: u64,
    /// Queries with a partial answer.
    pub partial: u64,
    /// Refused queries.
    pub refused: u64,
    /// Failed queries.
    pub failed: u64,
    /// Queries whose clients left before an answer.
    pub clients_gone: u64,
    /// Requests answered with a 4xx or 5xx before they became queries.
    pub malformed: u64,
    /// How requests ended, by class, for every class that has been in the settings.
    pub classes: BTreeMap<Arc<str>, ClassOutcomes>,
    /// Refused and failed queries by class and code of the cause.
    pub causes: BTreeMap<(Arc<str>, &'static str), u64>,
    /// Attempts that were written completely to a run store.
    pub tries: u64,
    /// Attempts passed to a transport.
    pub sent: u64,
    /// Probes sent.
    pub probes: u64,
    /// Ends of attempts by outcome, in the order completed, errored, rejected, timed out, not connected,
    /// reset, cancelled, not sent.
    pub ends: [u64; 8],
    /// Configurations applied at SIGHUP.
    pub config_applied: u64,
    /// Configurations rejected at SIGHUP.
    pub config_rejected: u64,
    /// Run stores that the core keeps an entry for at present.
    pub run_stores: usize,
    /// Run stores that the transport keeps any state of at present.
    pub transport_run_stores: usize,
}

impl Counters {
    pub(crate) fn count_answer(&mut self, class: &Arc<str>, final_answer: &FinalAnswer) {
        let outcomes = self.classes.entry(class.clone()).or_default();
        *match final_answer {
            FinalAnswer::Served { .. } => &mut outcomes.ok,
            FinalAnswer::Refused { .. } => &mut outcomes.shed,
            FinalAnswer::Failed { .. } => &mut outcomes.errors,
        } += 1;
        *match final_answer {
            FinalAnswer::Served { whole: true, .. } => &mut self.whole,
            FinalAnswer::Served { whole: false, .. } => &mut self.partial,
            FinalAnswer::Refused { .. } => &mut self.refused,
            FinalAnswer::Failed { .. } => &mut self.failed,
        } += 1;
        if let Some(cause) = final_answer.cause() {
            *self.causes.entry((class.clone(), cause.code())).or_default() += 1;
        }
    }

    /// Counts a request that was answered with a 4xx or 5xx before it became a query. It counts as an error
    /// of its class if that is or was in the settings. Other names are not kept, as clients can send any
    /// number of them.
    pub(crate) fn count_invalid_request(&mut self, class: &str) {
        self.malformed += 1;
        if let Some(outcomes) = self.classes.get_mut(class) {
            outcomes.errors += 1;
        }
    }

    pub(crate) fn count_attempt_end(&mut self, outcome: Outcome) {
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

/// Returns the metrics in StatsD's format, one per line: counters `|c`, gauges `|g`.
pub fn statsd(counters: &Counters, gauges: &Gauges) -> String {
    let responses = |(class, outcomes): (&Arc<str>, &ClassOutcomes)| {
        [("ok", outcomes.ok), ("shed", outcomes.shed), ("errors", outcomes.errors)]
            .map(|(end, count)| format!("aggregator.responses.{class}.{end}:{count}|c\n"))
            .concat()
    };
    let mut text: String = counters.classes.iter().map(responses).collect();
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
            self.transport_run_stores,
        )
    }
}
