//! An index of all replicas, updated incrementally: the holders of each shard, sums over load reports, and
//! replicas that need attention.
//!
//! It makes no decisions and is not part of a checkpoint. It always equals the index that
//! [`ReplicaIndex::build`] builds from all replicas.

use std::collections::{BTreeMap, BTreeSet};

use crate::api::{LoadReport, Millis, ReplicaState, Shard};
use crate::cold::LoadReports;
use crate::exact::{ExactSum, OrderedTime};

/// The fields of one replica that the index depends on.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct ReplicaFacts {
    /// The number of the replica.
    pub number: u64,
    /// Its cell.
    pub cell: u32,
    /// Its state in the list.
    pub state: ReplicaState,
    /// When it started, if known.
    pub started: Option<Millis>,
    /// Its measured rate, in cost units per millisecond, once there is a sample.
    pub rate: Option<f64>,
    /// Its last load report.
    pub load: LoadReport,
    /// When that report arrived.
    pub load_at: Millis,
    /// When it last looked dead.
    pub died: Option<Millis>,
    /// When its next probe is due, if it is parked.
    pub probe_at: Option<Millis>,
    /// When a connection to it that is still open was last used, if no part is in flight there.
    pub idle_since: Option<Millis>,
}

impl ReplicaFacts {
    fn is_listed(&self) -> bool {
        self.state != ReplicaState::Gone
    }
}

/// The numbers of replicas, each with a time, in the order of these times.
type ByTime = BTreeSet<(OrderedTime, u64)>;

/// The index of all replicas.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct ReplicaIndex {
    cells: u32,
    cells_per_shard: u32,
    warm_within: Option<Millis>,
    /// Listed replicas, by cell.
    holders: BTreeSet<(u32, u64)>,
    gone: BTreeSet<u64>,
    active: usize,
    /// Listed replicas with a measured rate, and the sum of their rates.
    measured: usize,
    rates: ExactSum,
    reports: LoadReports,
    /// Utilizations that were reported after a time, and their sum.
    reported_after: Millis,
    utilizations: BTreeMap<(OrderedTime, u64), f64>,
    utilization_sum: ExactSum,
    died: ByTime,
    parked: ByTime,
    idle: ByTime,
}

/// Replaces one key of a set by another, if they differ.
fn replace_key<K: Ord>(set: &mut BTreeSet<K>, before: Option<K>, after: Option<K>) {
    if before != after {
        before.map(|key| set.remove(&key));
        set.extend(after);
    }
}

/// Returns the replicas whose times satisfy a condition, in the order of their numbers. If the condition does
/// not hold for a time, it must not hold for any later one.
fn while_time(set: &ByTime, condition: impl Fn(Millis) -> bool) -> Vec<u64> {
    let mut due: Vec<u64> =
        set.iter().take_while(|(time, _)| condition(time.0)).map(|(_, number)| *number).collect();
    due.sort_unstable();
    due
}

impl ReplicaIndex {
    /// Builds the index of all replicas. Shards are laid out over `cells`, and a number of consecutive
    /// cells holds each. Only utilizations that were reported after `since` count.
    pub fn build(
        (cells, cells_per_shard): (u32, u32),
        warm_within: Option<Millis>,
        since: Millis,
        all: impl Iterator<Item = ReplicaFacts>,
    ) -> Self {
        let mut index = ReplicaIndex {
            cells,
            cells_per_shard,
            warm_within,
            reported_after: since,
            ..ReplicaIndex::default()
        };
        all.for_each(|facts| index.update(None, Some(&facts)));
        index
    }

    /// Updates the index for a replica that was added (no `before`), changed or removed (no `after`).
    pub fn update(&mut self, before: Option<&ReplicaFacts>, after: Option<&ReplicaFacts>) {
        let cells = self.cells;
        let holder = |facts: &ReplicaFacts| facts.is_listed().then_some((facts.cell % cells, facts.number));
        replace_key(&mut self.holders, before.and_then(holder), after.and_then(holder));
        let gone = |facts: &ReplicaFacts| (!facts.is_listed()).then_some(facts.number);
        replace_key(&mut self.gone, before.and_then(gone), after.and_then(gone));
        let active = |facts: Option<&ReplicaFacts>| {
            usize::from(facts.is_some_and(|facts| facts.state == ReplicaState::Active))
        };
        self.active = self.active + active(after) - active(before);
        let rate = |facts: &ReplicaFacts| facts.rate.filter(|_| facts.is_listed());
        if let Some(rate) = before.and_then(rate) {
            self.measured -= 1;
            self.rates.remove(rate);
        }
        if let Some(rate) = after.and_then(rate) {
            self.measured += 1;
            self.rates.add(rate);
        }
        self.update_reports(before, after);
        let by =
            |time: Option<Millis>, facts: &ReplicaFacts| time.map(|time| (OrderedTime(time), facts.number));
        for (set, time) in [
            (&mut self.died, (|facts| facts.died) as fn(&ReplicaFacts) -> Option<Millis>),
            (&mut self.parked, |facts| facts.probe_at),
            (&mut self.idle, |facts| facts.idle_since),
        ] {
            let key = |facts: &ReplicaFacts| by(time(facts), facts);
            replace_key(set, before.and_then(key), after.and_then(key));
        }
    }

    fn update_reports(&mut self, before: Option<&ReplicaFacts>, after: Option<&ReplicaFacts>) {
        let reported = |facts: &ReplicaFacts| (facts.load, facts.load_at, facts.started, facts.state);
        if before.map(reported) == after.map(reported) {
            return;
        }
        let warm_within = self.warm_within;
        let age = |facts: &ReplicaFacts| Some((facts.load_at - facts.started?) / warm_within?);
        let listed = |facts: &&ReplicaFacts| facts.is_listed();
        if let Some(facts) = before.filter(listed) {
            self.reports.remove(facts.load, age(facts));
        }
        if let Some(facts) = after.filter(listed) {
            self.reports.add(facts.load, age(facts));
        }
        if let Some(utilization) =
            before.and_then(|facts| self.utilizations.remove(&(OrderedTime(facts.load_at), facts.number)))
        {
            self.utilization_sum.remove(utilization);
        }
        let recent =
            |facts: &ReplicaFacts| facts.load.utilization.filter(|_| facts.load_at > self.reported_after);
        if let Some((utilization, facts)) = after.and_then(recent).zip(after) {
            self.utilization_sum.add(utilization);
            self.utilizations.insert((OrderedTime(facts.load_at), facts.number), utilization);
        }
    }

    /// Drops utilizations that were reported at a time or earlier.
    pub fn expire_utilizations(&mut self, since: Millis) {
        self.reported_after = since;
        while let Some(oldest) = self.utilizations.first_entry().filter(|oldest| oldest.key().0 .0 <= since) {
            self.utilization_sum.remove(oldest.remove());
        }
    }

    /// Returns whether any replica is listed.
    pub fn any_listed(&self) -> bool {
        !self.holders.is_empty()
    }

    /// Returns the listed replicas that hold a shard, in the order of their numbers.
    pub fn holders(&self, shard: Shard) -> Vec<u64> {
        let cells = (0..self.cells_per_shard).map(|next| (shard.0 % self.cells + next) % self.cells);
        let of = |cell| self.holders.range((cell, 0)..=(cell, u64::MAX)).map(|(_, number)| *number);
        let mut holders: Vec<u64> = cells.flat_map(of).collect();
        holders.sort_unstable();
        holders
    }

    /// Returns the replicas that are gone from the list.
    pub fn gone(&self) -> Vec<u64> {
        self.gone.iter().copied().collect()
    }

    /// Returns the number of active and of parked replicas.
    pub fn active_and_parked(&self) -> (usize, usize) {
        (self.active, self.parked.len())
    }

    /// Returns the mean rate of the listed replicas, if any has one.
    pub fn mean_rate(&self) -> Option<f64> {
        (self.measured > 0).then(|| self.rates.value() / self.measured as f64)
    }

    /// Returns the sums of the load reports of the listed replicas.
    pub fn load_reports(&self) -> &LoadReports {
        &self.reports
    }

    /// Returns the sum of the recently reported utilizations, and their number.
    pub fn utilization(&self) -> (f64, usize) {
        (self.utilization_sum.value(), self.utilizations.len())
    }

    /// Returns the replicas that last looked dead after `since` and at `until` at the latest, with the
    /// time.
    pub fn died_between(&self, since: Millis, until: Millis) -> impl Iterator<Item = (u64, Millis)> + '_ {
        let late = self.died.iter().rev().skip_while(move |(at, _)| at.0 > until);
        late.take_while(move |(at, _)| at.0 > since).map(|(at, number)| (*number, at.0))
    }

    /// Returns the parked replicas whose probe is due.
    pub fn probes_due(&self, now: Millis) -> Vec<u64> {
        while_time(&self.parked, |at| now >= at)
    }

    /// Returns the replicas with connections that have been idle for longer than a limit.
    pub fn idle_longer_than(&self, now: Millis, limit: Millis) -> Vec<u64> {
        while_time(&self.idle, |used| now - used > limit)
    }
}
