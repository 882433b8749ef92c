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
    pub(super) load_then: f64,
    /// The cost that this router had in flight at the replica at the send, including this part.
    pub(super) ahead: f64,
    /// How long the connection had been idle, if the path may have dropped it for that: longer than the
    /// shortest aim and shorter than the keep-alive time.
    pub(super) idle: Option<Millis>,
    /// Why it was cancelled, if it was.
    pub(super) cancelled: Option<AttemptReason>,
    /// The number of parts that were sent to the replica later and completed earlier.
    pub(super) overtaken: u32,
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
    pub(super) key: u64,
    /// Whether an attempt completed.
    pub(super) done: bool,
    /// Whether the answer is built without it.
    pub(super) left_out: bool,
    /// The reason of its next attempt.
    #[serde(rename = "why")]
    pub(super) reason: AttemptReason,
    /// The number of attempts made.
    pub(super) attempts: u32,
    /// The attempt in flight and its replica. There are never two at once, as a duplicate adds load.
    pub(super) out: Option<(Attempt, ReplicaNo)>,
    /// The replicas of all attempts.
    pub(super) tried: Vec<ReplicaNo>,
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
    pub(super) second: Option<bool>,
    /// Its worth, reduced if it exceeds its tenant's quota.
    pub(super) worth: f64,
    /// The total weight of the completed parts of the current step.
    pub(super) share: f64,
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
    pub(super) line: Replica,
    /// The rate of the last sample (DR in C2LD): cost divided by latency, in cost units per millisecond.
    pub(super) dr: Option<f64>,
    /// When the rate was last sampled; at first, when the replica was listed.
    pub(super) heard: Millis,
    /// The number of a monitoring interval, and the cost in flight at its start plus the cost sent during it.
    pub(super) sent: (i64, f64),
    /// The cost that this router has in flight there.
    pub(super) out: f64,
    /// The number of attempts that this router has in flight there.
    #[serde(rename = "flights")]
    pub(super) in_flight: u32,
    /// Since when it has had attempts of this router in flight without a gap.
    pub(super) owes: Millis,
    /// Its last load report.
    pub(super) load: LoadReport,
    /// When the last load report arrived.
    pub(super) loaded: Millis,
    /// When it last showed a sign of life: an answer, an error, a reset or a probe that restored it.
    pub(super) answered: Millis,
    /// The share of its recent parts that failed, by class.
    pub(super) failed: Vec<DecayingMean>,
    /// The share of its recent parts of all classes that it may have run without answering them.
    pub(super) lost: DecayingMean,
    /// When it was parked, if it is.
    pub(super) parked: Option<Millis>,
    /// When it is to be probed next, if it is parked.
    pub(super) probe_at: Millis,
    /// The rate at which it works off what this router has in flight there.
    pub(super) pace: ServiceRate,
    /// The cost that may still be sent to it while it is cold, and when that was computed. Starts at a random
    /// share of one cost unit.
    pub(super) cold: (f64, Millis),
    /// The time of the last step that sent parts to it, and the number of these parts.
    pub(super) call: (Millis, u32),
    /// When a connection to it was last used; `None` if none is known to be open.
    pub(super) used: Option<Millis>,
    /// How long the connection had been idle before the attempts now in flight, as in [`InFlight`]; `None`
    /// once one of them has completed.
    pub(super) idle: Option<Millis>,
    /// When it last reset or refused a connection.
    pub(super) died: Option<Millis>,
}

/// What the router learned about the fleet as a whole. Averages are exponential moving averages.
#[derive(Default, Serialize, Deserialize)]
#[serde(default)]
pub(super) struct FleetMeasures {
    /// The average cost hint of parts.
    pub(super) hint: Option<f64>,
    /// The typical latency of a completed part: an average in which outliers are capped.
    pub(super) usual: Option<f64>,
    /// The average cost that this router had in flight when the parts behind the typical latency were sent.
    pub(super) load_then: Option<f64>,
    /// The mean rate of the measured replicas, in cost units per millisecond.
    pub(super) mean: Option<f64>,
    /// The rate of a healthy replica under little load, in cost units per millisecond. It serves to estimate
    /// what a cold replica can take.
    pub(super) best: Option<f64>,
    /// By class: the average time of its queries, in typical part latencies, and when it was last sampled.
    pub(super) spread: Vec<DecayingMean>,
    /// The average worth of a query per work.
    pub(super) density: Option<f64>,
    /// What is left of the tenants' quotas.
    pub(super) quota: Quotas,
    /// Whether idle connections are dropped on the path.
    pub(super) idle: IdleDrops,
    /// This router's share of the fleet's traffic, which limits what it sends to cold replicas.
    pub(super) traffic: cold::FleetTraffic,
    /// The retry budget that this router earns by its parts.
    pub(super) further: RetryBudget,
    /// The share of queries refused lately, from which retry-after advice follows.
    pub(super) advice: RetryAdvice,
    /// The usage of the configured limit on retries.
    pub(super) budget: BudgetUsage,
}

/// A part in flight: its index, identifier, current attempt with replica, send time and number of attempts.
pub(super) type Out = (usize, PartId, (Attempt, ReplicaNo), Millis, u32);

impl Query {
    /// Returns the parts in flight that were sent no later than `since`.
    pub(super) fn out_since(&self, since: Millis) -> Vec<Out> {
        let out = |(index, p): (usize, &Part)| {
            Some((index, p.id.clone(), p.out.filter(|_| p.last_sent <= since)?, p.last_sent, p.attempts))
        };
        self.parts.iter().enumerate().filter_map(out).collect()
    }
}

impl ReplicaStats {
    /// Returns the cost sent in a monitoring interval. The cost in flight at its start counts as well, since
    /// that work has yet to be done.
    pub(super) fn sent_in(&self, interval: i64) -> f64 {
        if self.sent.0 == interval {
            self.sent.1
        } else {
            self.out
        }
    }
}
