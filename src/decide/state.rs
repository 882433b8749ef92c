//! What a router holds: its state, as it is written down and read again.

use serde::{Deserialize, Serialize};

use crate::api::*;
use crate::{advice::RetryAdvice, quota::Quotas, repeats::RetryBudget};
use crate::{budget::BudgetUsage, cold, decaying_mean::DecayingMean, idle::IdleDrops, pace::ServiceRate};

/// A replica's name, hashed: unlike text it is compared in one go.
pub(super) type ReplicaNo = u64;

/// A part sent and not yet ended, or ended after its query.
#[derive(Default, Serialize, Deserialize)]
pub(super) struct InFlight {
    #[serde(rename = "server")]
    pub(super) replica: ReplicaNo,
    pub(super) class: usize,
    pub(super) sent: Millis,
    pub(super) cost: f64,
    pub(super) load_then: f64,
    pub(super) ahead: f64,
    pub(super) idle: Option<Millis>,
    pub(super) cancelled: Option<AttemptReason>,
    /// Parts sent there after it that were answered before it.
    pub(super) overtaken: u32,
}

#[derive(Default, Serialize, Deserialize)]
pub(super) struct Part {
    pub(super) id: PartId,
    pub(super) shard: Shard,
    pub(super) weight: f64,
    pub(super) cost: f64,
    pub(super) key: u64,
    pub(super) done: bool,
    pub(super) left_out: bool,
    #[serde(rename = "why")]
    pub(super) reason: AttemptReason,
    pub(super) attempts: u32,
    /// The attempt out, and where: never two at once, as a copy is load.
    pub(super) out: Option<(Attempt, ReplicaNo)>,
    pub(super) tried: Vec<ReplicaNo>,
    /// The first send that may have run; `None` while all are proved not to have.
    pub(super) may_have_run: Option<Millis>,
    pub(super) last_sent: Millis,
}

#[derive(Default, Serialize, Deserialize)]
pub(super) struct Query {
    pub(super) id: QueryId,
    pub(super) class: usize,
    pub(super) accepted: Millis,
    pub(super) deadline: Millis,
    pub(super) parts: Vec<Part>,
    /// At the second step, whether the first one's answer was whole.
    pub(super) second: Option<bool>,
    pub(super) worth: f64,
    pub(super) share: f64,
    /// Replicas at which parts were lost to resets, once each, and whether on connections surely open.
    pub(super) resets: Vec<(ReplicaNo, bool)>,
    /// When enough was in for an answer: waiting for the rest until the aim is no sign of pressure.
    pub(super) enough_at: Option<Millis>,
}

#[derive(Default, Serialize, Deserialize)]
#[serde(default)]
pub(super) struct ReplicaStats {
    pub(super) number: ReplicaNo,
    pub(super) line: Replica,
    pub(super) dr: Option<f64>,
    pub(super) heard: Millis,
    /// Cost sent in the interval of that number, with what was still out at its turn.
    pub(super) sent: (i64, f64),
    pub(super) out: f64,
    #[serde(rename = "flights")]
    pub(super) in_flight: u32,
    /// Since when it has had parts of this router.
    pub(super) owes: Millis,
    pub(super) load: LoadReport,
    pub(super) loaded: Millis,
    pub(super) answered: Millis,
    /// Share of its last parts that failed, by class, and that it lost, of all classes.
    pub(super) failed: Vec<DecayingMean>,
    pub(super) lost: DecayingMean,
    pub(super) parked: Option<Millis>,
    pub(super) probe_at: Millis,
    pub(super) pace: ServiceRate,
    /// Room for work while it is cold, and when that was reckoned.
    pub(super) cold: (f64, Millis),
    pub(super) call: (Millis, u32),
    /// When an open connection to it was last used, and its idleness before what is out on it, unanswered.
    pub(super) used: Option<Millis>,
    pub(super) idle: Option<Millis>,
    pub(super) died: Option<Millis>,
}

#[derive(Default, Serialize, Deserialize)]
#[serde(default)]
pub(super) struct FleetMeasures {
    pub(super) hint: Option<f64>,
    /// Usual latency of a part, and the work of this router that was out when such parts were sent.
    pub(super) usual: Option<f64>,
    pub(super) load_then: Option<f64>,
    pub(super) mean: Option<f64>,
    /// What a sound replica does with little else to do: the guide to what a cold one can carry.
    pub(super) best: Option<f64>,
    /// By class: how long its queries take, in usual latencies of a part, and when one last told.
    pub(super) spread: Vec<DecayingMean>,
    pub(super) density: Option<f64>,
    pub(super) quota: Quotas,
    pub(super) idle: IdleDrops,
    pub(super) traffic: cold::FleetTraffic,
    pub(super) further: RetryBudget,
    pub(super) advice: RetryAdvice,
    pub(super) budget: BudgetUsage,
}

/// A part that is out: its place, its attempt and replica, when it was sent and how often.
pub(super) type Out = (usize, PartId, (Attempt, ReplicaNo), Millis, u32);

impl Query {
    /// Parts out since some time.
    pub(super) fn out_since(&self, since: Millis) -> Vec<Out> {
        let out = |(index, p): (usize, &Part)| {
            Some((index, p.id.clone(), p.out.filter(|_| p.last_sent <= since)?, p.last_sent, p.attempts))
        };
        self.parts.iter().enumerate().filter_map(out).collect()
    }
}

impl ReplicaStats {
    /// Cost sent in an interval. Work still out at its turn stays counted: it has yet to be done.
    pub(super) fn sent_in(&self, interval: i64) -> f64 {
        if self.sent.0 == interval {
            self.sent.1
        } else {
            self.out
        }
    }
}
