//! An index of all replicas, updated with each change: the holders of each shard, sums, and replicas by the
//! time at which something is due.
//!
//! The index decides nothing and is not serialized: all of it can be recomputed from the replicas
//! ([`Pool::of`]), and equals the result at any time.

use std::collections::{BTreeMap, BTreeSet};

use crate::api::{LoadReport, Millis, ReplicaState, Shard};
use crate::cold::Reports;
use crate::exact::{Exact, Time};

/// What is to be known of one replica.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct Facts {
    /// Its number.
    pub number: u64,
    /// Its cell.
    pub cell: u32,
    /// Its state in the list.
    pub state: ReplicaState,
    /// When it started.
    pub started: Option<Millis>,
    /// Its rate, if it was heard.
    pub rate: Option<f64>,
    /// What it reported, and when.
    pub load: LoadReport,
    /// See `load`.
    pub loaded: Millis,
    /// When it last looked dead.
    pub died: Option<Millis>,
    /// When it is to be probed, if it is parked.
    pub probe_at: Option<Millis>,
    /// When an open connection to it was last used, if nothing is out there.
    pub idle_since: Option<Millis>,
}

impl Facts {
    fn is_listed(&self) -> bool {
        self.state != ReplicaState::Gone
    }
}

/// Replicas in order of some time of theirs.
type ByTime = BTreeSet<(Time, u64)>;

/// What is known of them together.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct Pool {
    cells: u32,
    width: u32,
    warm_within: Option<Millis>,
    /// Those that are listed, by cell.
    holders: BTreeSet<(u32, u64)>,
    gone: BTreeSet<u64>,
    active: usize,
    /// Of those that are listed: how many were heard, and their rates.
    heard: usize,
    rates: Exact,
    reports: Reports,
    /// Utilizations reported since some time.
    since: Millis,
    told: BTreeMap<(Time, u64), f64>,
    busy: Exact,
    died: ByTime,
    parked: ByTime,
    idle: ByTime,
}

/// Puts what is after in the place of what was before, if they differ.
fn shift<K: Ord>(set: &mut BTreeSet<K>, before: Option<K>, after: Option<K>) {
    if before != after {
        before.map(|key| set.remove(&key));
        set.extend(after);
    }
}

/// Those up to some time, in order of their numbers.
fn until(set: &ByTime, at: impl Fn(Millis) -> bool) -> Vec<u64> {
    let mut due: Vec<u64> =
        set.iter().take_while(|(time, _)| at(time.0)).map(|(_, number)| *number).collect();
    due.sort_unstable();
    due
}

impl Pool {
    /// Builds the index of all replicas, for shards laid out over `cells` cells, of which `width` in a row
    /// hold each shard. Utilizations count that were reported after `since`.
    pub fn of(
        (cells, width): (u32, u32),
        warm_within: Option<Millis>,
        since: Millis,
        all: impl Iterator<Item = Facts>,
    ) -> Self {
        let mut pool = Pool { cells, width, warm_within, since, ..Pool::default() };
        all.for_each(|facts| pool.change(None, Some(&facts)));
        pool
    }

    /// One replica has changed, or is new or gone for good.
    pub fn change(&mut self, before: Option<&Facts>, after: Option<&Facts>) {
        let cells = self.cells;
        let holder = |facts: &Facts| facts.is_listed().then_some((facts.cell % cells, facts.number));
        shift(&mut self.holders, before.and_then(holder), after.and_then(holder));
        let gone = |facts: &Facts| (!facts.is_listed()).then_some(facts.number);
        shift(&mut self.gone, before.and_then(gone), after.and_then(gone));
        let active = |facts: Option<&Facts>| {
            usize::from(facts.is_some_and(|facts| facts.state == ReplicaState::Active))
        };
        self.active = self.active + active(after) - active(before);
        let rate = |facts: &Facts| facts.rate.filter(|_| facts.is_listed());
        if let Some(rate) = before.and_then(rate) {
            self.heard -= 1;
            self.rates.take(rate);
        }
        if let Some(rate) = after.and_then(rate) {
            self.heard += 1;
            self.rates.add(rate);
        }
        self.change_reports(before, after);
        let by = |time: Option<Millis>, facts: &Facts| time.map(|time| (Time(time), facts.number));
        for (set, time) in [
            (&mut self.died, (|facts| facts.died) as fn(&Facts) -> Option<Millis>),
            (&mut self.parked, |facts| facts.probe_at),
            (&mut self.idle, |facts| facts.idle_since),
        ] {
            let key = |facts: &Facts| by(time(facts), facts);
            shift(set, before.and_then(key), after.and_then(key));
        }
    }

    fn change_reports(&mut self, before: Option<&Facts>, after: Option<&Facts>) {
        let told = |facts: &Facts| (facts.load, facts.loaded, facts.started, facts.state);
        if before.map(told) == after.map(told) {
            return;
        }
        let warm_within = self.warm_within;
        let way = |facts: &Facts| Some((facts.loaded - facts.started?) / warm_within?);
        let report = |facts: &&Facts| facts.is_listed();
        if let Some(facts) = before.filter(report) {
            self.reports.take(facts.load, way(facts));
        }
        if let Some(facts) = after.filter(report) {
            self.reports.add(facts.load, way(facts));
        }
        if let Some(busy) = before.and_then(|facts| self.told.remove(&(Time(facts.loaded), facts.number))) {
            self.busy.take(busy);
        }
        let told = |facts: &Facts| facts.load.utilization.filter(|_| facts.loaded > self.since);
        if let Some((busy, facts)) = after.and_then(told).zip(after) {
            self.busy.add(busy);
            self.told.insert((Time(facts.loaded), facts.number), busy);
        }
    }

    /// Time goes on: utilizations count that were reported after this one.
    pub fn forget(&mut self, since: Millis) {
        self.since = since;
        while let Some(oldest) = self.told.first_entry().filter(|oldest| oldest.key().0 .0 <= since) {
            self.busy.take(oldest.remove());
        }
    }

    /// Whether any is listed.
    pub fn is_listed(&self) -> bool {
        !self.holders.is_empty()
    }

    /// Those listed that hold a shard, in order.
    pub fn holders(&self, shard: Shard) -> Vec<u64> {
        let cells = (0..self.width).map(|next| (shard.0 % self.cells + next) % self.cells);
        let of = |cell| self.holders.range((cell, 0)..=(cell, u64::MAX)).map(|(_, number)| *number);
        let mut holders: Vec<u64> = cells.flat_map(of).collect();
        holders.sort_unstable();
        holders
    }

    /// Those that are gone from the list.
    pub fn gone(&self) -> Vec<u64> {
        self.gone.iter().copied().collect()
    }

    /// How many are active, and how many parked.
    pub fn active_and_parked(&self) -> (usize, usize) {
        (self.active, self.parked.len())
    }

    /// The mean rate of those listed, if any was heard.
    pub fn mean_rate(&self) -> Option<f64> {
        (self.heard > 0).then(|| self.rates.value() / self.heard as f64)
    }

    /// What those listed reported last.
    pub fn reports(&self) -> &Reports {
        &self.reports
    }

    /// The utilizations reported lately: their sum and how many.
    pub fn busy(&self) -> (f64, usize) {
        (self.busy.value(), self.told.len())
    }

    /// Those that last looked dead between two times, the second included, with when.
    pub fn died(&self, since: Millis, until: Millis) -> impl Iterator<Item = (u64, Millis)> + '_ {
        let late = self.died.iter().rev().skip_while(move |(at, _)| at.0 > until);
        late.take_while(move |(at, _)| at.0 > since).map(|(at, number)| (*number, at.0))
    }

    /// Those whose probes are due.
    pub fn to_probe(&self, now: Millis) -> Vec<u64> {
        until(&self.parked, |at| now >= at)
    }

    /// Those with connections that have been idle for longer than a limit.
    pub fn idle(&self, now: Millis, limit: Millis) -> Vec<u64> {
        until(&self.idle, |used| now - used > limit)
    }
}
