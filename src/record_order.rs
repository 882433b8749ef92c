//! Decides in which order the records of DNS-SD instances are queried.
//!
//! A server that answers slowly cannot be asked for all records within the time in which a change has to
//! take effect. The records that show a drain therefore have a share of the queries of their own. Of the
//! others, those of new instances come first.

use std::collections::{BTreeSet, VecDeque};

use crate::api::ReplicaId;

/// A kind of record that describes an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RecordKind {
    /// The port and the host (SRV).
    Service,
    /// The address of the host (A or AAAA).
    Address,
    /// The state and the cell (TXT).
    Texts,
}

/// A query for a kind of record of an instance.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Lookup {
    /// The instance.
    pub instance: ReplicaId,
    /// The kind of record.
    pub kind: RecordKind,
}

/// Why a record is queried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// The instance cannot be used without it, and it has not been queried before.
    Discover,
    /// The instance is in use and may drain.
    CheckState,
    /// The instance is in use and may move, or is not in use and may return.
    CheckLocation,
}

/// The most state checks that may follow one another after a time without any.
const MAX_STATE_CREDIT: f64 = 2.0;

/// The queue of lookups.
#[derive(Debug, Default)]
pub struct RecordOrder {
    discover: VecDeque<Lookup>,
    check_state: VecDeque<Lookup>,
    check_location: VecDeque<Lookup>,
    /// The lookups that are queued or in progress.
    pending: BTreeSet<Lookup>,
    /// The share of state checks that has added up since the last one.
    state_credit: f64,
}

impl RecordOrder {
    /// Queues a lookup, unless it is queued or in progress.
    pub fn request(&mut self, lookup: Lookup, purpose: Purpose) {
        if self.pending.insert(lookup.clone()) {
            self.queue(purpose).push_back(lookup);
        }
    }

    /// Queues a lookup ahead of the others of its purpose, unless it is queued or in progress.
    pub fn request_first(&mut self, lookup: Lookup, purpose: Purpose) {
        if self.pending.insert(lookup.clone()) {
            self.queue(purpose).push_front(lookup);
        }
    }

    /// Starts the next lookup and returns it. `state_share` is the share of state checks, from 0 to 1.
    pub fn start_next(&mut self, state_share: f64) -> Option<Lookup> {
        self.state_credit = (self.state_credit + state_share).min(MAX_STATE_CREDIT);
        let purposes = match self.state_credit >= 1.0 {
            true => [Purpose::CheckState, Purpose::Discover, Purpose::CheckLocation],
            false => [Purpose::Discover, Purpose::CheckLocation, Purpose::CheckState],
        };
        let next = |purpose: Purpose| Some((purpose, self.queue(purpose).pop_front()?));
        let (purpose, lookup) = purposes.into_iter().find_map(next)?;
        if purpose == Purpose::CheckState {
            self.state_credit = (self.state_credit - 1.0).max(0.0);
        }
        Some(lookup)
    }

    /// Ends a lookup that was started, so that it can be requested again.
    pub fn end(&mut self, lookup: &Lookup) {
        self.pending.remove(lookup);
    }

    /// Removes all lookups.
    pub fn clear(&mut self) {
        *self = RecordOrder::default();
    }

    fn queue(&mut self, purpose: Purpose) -> &mut VecDeque<Lookup> {
        match purpose {
            Purpose::Discover => &mut self.discover,
            Purpose::CheckState => &mut self.check_state,
            Purpose::CheckLocation => &mut self.check_location,
        }
    }
}

#[cfg(test)]
mod tests;
