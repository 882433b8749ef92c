//! The serialized parts of the router's state: queries, parts, attempts, replica statistics and fleet
//! measures.

use serde::{Deserialize, Serialize};

use crate::api::*;
use crate::{advice::RetryAdvice, quota::Quotas, repeats::RetryBudget};
use crate::{budget::BudgetUsage, cold, decaying_mean::DecayingMean, idle::IdleDrops, pace::ServiceRate};

/// The hash of a replica's identifier, which is cheaper to compare than the text.
pub(super) type ReplicaNo = u64;

/// An attempt that was sent and has not ended. It may outlive its query.
#[derive(Default, Serialize, Deserialize)]
pub(super) struct InFlight {
    #[serde(rename = "server")]
    pub(super) replica: ReplicaNo,
    /// The class of its query.
    pub(super) class: usize,
    /// When it was sent.
    pub(super) sent: Millis,
    /// Its expected work in cost units.
    pub(super) cost: f64,
    /// The cost that this router had in flight at all replicas just before the send.
    #[serde(rename = "load_then")]
    pub(super) router_cost_in_flight: f64,
    /// The cost that this router had in flight at the replica at the send, including this part.
    #[serde(rename = "ahead")]
    pub(super) replica_cost_in_flight: f64,
    /// How long the connection had been idle, if the path may have dropped it for that: longer than the
    /// shortest aim and shorter than the keep-alive time.
    #[serde(rename = "idle")]
    pub(super) connection_idle: Option<Millis>,
    /// Why it was cancelled, if it was.
    pub(super) cancelled: Option<AttemptReason>,
    /// The number of parts that were sent to the replica later and completed earlier.
    #[serde(rename = "overtaken")]
    pub(super) overtaken_by: u32,
}

/// A part of an open query.
#[derive(Default, Serialize, Deserialize)]
pub(super) struct Part {
    pub(super) id: PartId,
    pub(super) shard: Shard,
    /// Its share of the answer.
    pub(super) weight: f64,
    /// Its expected work in cost units.
    pub(super) cost: f64,
    /// A hash that determines the order of preference among tied replicas.
    #[serde(rename = "key")]
    pub(super) order_key: u64,
    /// Whether an attempt completed.
    #[serde(rename = "done")]
    pub(super) completed: bool,
    /// Whether the answer is built without it.
    pub(super) left_out: bool,
    /// The reason of its next attempt.
    #[serde(rename = "why")]
    pub(super) reason: AttemptReason,
    /// The number of attempts made.
    pub(super) attempts: u32,
    /// The attempt in flight and its replica. There are never two at once, as a duplicate adds load.
    #[serde(rename = "out")]
    pub(super) current_attempt: Option<(Attempt, ReplicaNo)>,
    /// The replicas of all attempts.
    #[serde(rename = "tried")]
    pub(super) tried_replicas: Vec<ReplicaNo>,
    /// The time of the first send that may have run; `None` if all ended attempts are known not to have run.
    pub(super) may_have_run: Option<Millis>,
    /// When the last attempt was sent.
    pub(super) last_sent: Millis,
}

/// An open query.
#[derive(Default, Serialize, Deserialize)]
pub(super) struct Query {
    pub(super) id: QueryId,
    pub(super) class: usize,
    /// When it arrived.
    pub(super) accepted: Millis,
    /// When its client gives up.
    pub(super) deadline: Millis,
    /// The parts of its current step.
    pub(super) parts: Vec<Part>,
    /// In the second step, whether the first step's answer was whole; `None` in the first step.
    #[serde(rename = "second")]
    pub(super) first_step_whole: Option<bool>,
    /// Its worth, reduced if it exceeds its tenant's quota.
    pub(super) worth: f64,
    /// The total weight of the completed parts of the current step.
    #[serde(rename = "share")]
    pub(super) completed_share: f64,
    /// The replicas that reset a part of it, once each, and whether the connection was certainly open before
    /// the send. A connection that had been idle may have been dropped on the path.
    pub(super) resets: Vec<(ReplicaNo, bool)>,
    /// When enough parts had completed for an answer. The time spent waiting for the others until the aim is
    /// no sign of overload.
    pub(super) enough_at: Option<Millis>,
}

/// The state of a replica as this router knows it.
#[derive(Default, Serialize, Deserialize)]
#[serde(default)]
pub(super) struct ReplicaStats {
    /// The hash of its identifier.
    pub(super) number: ReplicaNo,
    /// Its entry in the list of replicas.
    #[serde(rename = "line")]
    pub(super) entry: Replica,
    /// The rate of the last sample (DR in C2LD): cost divided by latency, in cost units per millisecond.
    #[serde(rename = "dr")]
    pub(super) last_rate: Option<f64>,
    /// When the rate was last sampled; at first, when the replica was listed.
    #[serde(rename = "heard")]
    pub(super) rate_sampled_at: Millis,
    /// The number of a monitoring interval, and the cost in flight at its start plus the cost sent during it.
    #[serde(rename = "sent")]
    pub(super) interval_cost: (i64, f64),
    /// The cost that this router has in flight there.
    #[serde(rename = "out")]
    pub(super) cost_in_flight: f64,
    /// The number of attempts that this router has in flight there.
    #[serde(rename = "flights")]
    pub(super) attempts_in_flight: u32,
    /// Since when it has had attempts of this router in flight without a gap.
    #[serde(rename = "owes")]
    pub(super) in_flight_since: Millis,
    /// Its last load report.
    #[serde(rename = "load")]
    pub(super) load_report: LoadReport,
    /// When the last load report arrived.
    #[serde(rename = "loaded")]
    pub(super) load_reported_at: Millis,
    /// When it last showed a sign of life: an answer, an error, a reset or a probe that restored it.
    #[serde(rename = "answered")]
    pub(super) last_response: Millis,
    /// The share of its recent parts that failed, by class.
    #[serde(rename = "failed")]
    pub(super) failure_rates: Vec<DecayingMean>,
    /// The share of its recent parts of all classes that it may have run without answering them.
    #[serde(rename = "lost")]
    pub(super) loss_rate: DecayingMean,
    /// When it was parked, if it is.
    #[serde(rename = "parked")]
    pub(super) parked_at: Option<Millis>,
    /// When it is to be probed next, if it is parked.
    pub(super) probe_at: Millis,
    /// The rate at which it works off what this router has in flight there.
    #[serde(rename = "pace")]
    pub(super) service_rate: ServiceRate,
    /// The cost that may still be sent to it while it is cold, and when that was computed. Starts at a random
    /// share of one cost unit.
    #[serde(rename = "cold")]
    pub(super) cold_budget: (f64, Millis),
    /// The time of the last step that sent parts to it, and the number of these parts.
    #[serde(rename = "call")]
    pub(super) last_call: (Millis, u32),
    /// When a connection to it was last used; `None` if none is known to be open.
    #[serde(rename = "used")]
    pub(super) connection_used_at: Option<Millis>,
    /// How long the connection had been idle before the attempts now in flight, as in [`InFlight`]; `None`
    /// once one of them has completed.
    #[serde(rename = "idle")]
    pub(super) connection_idle: Option<Millis>,
    /// When it last reset or refused a connection.
    #[serde(rename = "died")]
    pub(super) connection_failed_at: Option<Millis>,
}

/// What the router learned about the fleet as a whole. Averages are exponential moving averages.
#[derive(Default, Serialize, Deserialize)]
#[serde(default)]
pub(super) struct FleetMeasures {
    /// The average cost hint of parts.
    #[serde(rename = "hint")]
    pub(super) mean_cost_hint: Option<f64>,
    /// The typical latency of a completed part: an average in which outliers are capped.
    #[serde(rename = "usual")]
    pub(super) typical_latency: Option<f64>,
    /// The average cost that this router had in flight when the parts behind the typical latency were sent.
    #[serde(rename = "load_then")]
    pub(super) typical_cost_in_flight: Option<f64>,
    /// The mean rate of the measured replicas, in cost units per millisecond.
    #[serde(rename = "mean")]
    pub(super) mean_rate: Option<f64>,
    /// The rate of a healthy replica under little load, in cost units per millisecond. It serves to estimate
    /// what a cold replica can take.
    #[serde(rename = "best")]
    pub(super) best_rate: Option<f64>,
    /// By class: the average time of its queries, in typical part latencies, and when it was last sampled.
    #[serde(rename = "spread")]
    pub(super) relative_query_times: Vec<DecayingMean>,
    /// The average worth of queries per unit of work.
    #[serde(rename = "density")]
    pub(super) mean_worth_per_work: Option<f64>,
    /// What is left of the tenants' quotas.
    #[serde(rename = "quota")]
    pub(super) quotas: Quotas,
    /// Whether idle connections are dropped on the path.
    #[serde(rename = "idle")]
    pub(super) idle_drops: IdleDrops,
    /// This router's share of the fleet's traffic, which limits what it sends to cold replicas.
    pub(super) traffic: cold::FleetTraffic,
    /// The retry budget that this router earns by its parts.
    #[serde(rename = "further")]
    pub(super) retry_budget: RetryBudget,
    /// The share of recent queries that were refused, from which retry-after advice follows.
    #[serde(rename = "advice")]
    pub(super) retry_advice: RetryAdvice,
    /// The usage of the configured limit on retries.
    #[serde(rename = "budget")]
    pub(super) attempt_budget: BudgetUsage,
}

/// A part in flight: its index, identifier, current attempt with replica, send time and number of attempts.
pub(super) type PartInFlight = (usize, PartId, (Attempt, ReplicaNo), Millis, u32);

impl Query {
    /// Returns the parts in flight that were sent no later than `since`.
    pub(super) fn parts_in_flight_since(&self, since: Millis) -> Vec<PartInFlight> {
        let in_flight = |(index, part): (usize, &Part)| {
            Some((
                index,
                part.id.clone(),
                part.current_attempt.filter(|_| part.last_sent <= since)?,
                part.last_sent,
                part.attempts,
            ))
        };
        self.parts.iter().enumerate().filter_map(in_flight).collect()
    }
}

impl ReplicaStats {
    /// Returns the cost sent in a monitoring interval. The cost in flight at its start counts as well, since
    /// that work has yet to be done.
    pub(super) fn sent_in(&self, interval: i64) -> f64 {
        if self.interval_cost.0 == interval {
            self.interval_cost.1
        } else {
            self.cost_in_flight
        }
    }
}
