//! The list of run stores and its JSON format.

use std::borrow::Cow;
use std::collections::BTreeSet;
use std::fmt;
use std::sync::Arc;

use serde::de::{Error, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::api::{Replica, ReplicaId, ReplicaState};
use crate::core::{DirectoryUpdate, ListedRunStore};

/// The maximum number of lines in a list: the next power of two above the 57,000 run stores that are planned for.
/// Several copies of each line are in memory while a list is applied, so the number of lines bounds the memory used.
pub const MAX_LINES: usize = 65_536;
/// The maximum average size of a line in an indented list, in bytes. The longest line of the protocol has 468 bytes:
/// 162 for keys, punctuation and blanks, 63 each for name, zone and type (a DNS label; RFC 1035, 2.3.4), 53 for an
/// address with its port, 8 for the state and 56 for the numbers. The rest is a margin.
pub const MAX_LINE_BYTES: usize = 512;
/// The maximum size of a list, in bytes. With [`MAX_LINES`] it bounds the memory used while a list is applied.
pub const MAX_LIST_BYTES: usize = MAX_LINES * MAX_LINE_BYTES;

/// A list of run stores: an answer of the discovery service, or the `known` list of the configuration.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct List {
    /// The version of the list.
    #[serde(default)]
    pub index: u64,
    /// Whether `endpoints` holds all run stores (`true`) or only those that changed.
    #[serde(default)]
    pub snapshot: bool,
    /// The run stores, at most [`MAX_LINES`].
    #[serde(default, serialize_with = "write", deserialize_with = "read")]
    pub endpoints: Vec<ListedRunStore>,
}

/// A line of the list in its JSON form.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Line<'a> {
    /// The run store's name.
    #[serde(borrow)]
    pub name: Cow<'a, str>,
    /// The address on which it listens.
    #[serde(default, borrow)]
    pub address: Cow<'a, str>,
    /// The zone in which it runs.
    #[serde(default, borrow)]
    pub zone: Cow<'a, str>,
    /// Its cell.
    pub group: u32,
    /// Its state: `ready`, `draining` or `gone`.
    #[serde(borrow)]
    pub status: Cow<'a, str>,
    /// Its capacity relative to other run stores.
    #[serde(default = "one")]
    pub weight: f64,
    /// When it last started, as Unix time in milliseconds; 0 if unknown.
    #[serde(default)]
    pub since_ms: f64,
}

fn one() -> f64 {
    1.0
}

impl Line<'_> {
    /// Converts the line to the core's type.
    pub fn to_listed(&self) -> ListedRunStore {
        self.to_listed_in(self.zone.as_ref().into())
    }

    fn to_listed_in(&self, zone: Arc<str>) -> ListedRunStore {
        let replica = Replica {
            id: ReplicaId::from(self.name.as_ref()),
            zone,
            cell: self.group,
            // A run store in an unknown state gets no new parts.
            state: match self.status.as_ref() {
                "ready" => ReplicaState::Active,
                "gone" => ReplicaState::Gone,
                _ => ReplicaState::Draining,
            },
            weight: self.weight,
            started: Some(self.since_ms).filter(|since| *since > 0.0),
        };
        ListedRunStore { replica, address: self.address.parse().ok() }
    }
}

impl<'a> From<&'a ListedRunStore> for Line<'a> {
    fn from(line: &'a ListedRunStore) -> Self {
        let status = match line.replica.state {
            ReplicaState::Active => "ready",
            ReplicaState::Draining => "draining",
            ReplicaState::Gone => "gone",
        };
        Line {
            name: Cow::Borrowed(&line.replica.id.0),
            address: line.address.map(|address| address.to_string()).unwrap_or_default().into(),
            zone: Cow::Borrowed(&line.replica.zone),
            group: line.replica.cell,
            status: status.into(),
            weight: line.replica.weight,
            since_ms: line.replica.started.unwrap_or(0.0),
        }
    }
}

fn write<S: Serializer>(lines: &[ListedRunStore], serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_seq(lines.iter().map(Line::from))
}

fn read<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<ListedRunStore>, D::Error> {
    deserializer.deserialize_seq(LinesVisitor)
}

/// Reads a list line by line and converts each line at once, so that no list of JSON lines is held. There are few
/// distinct zones, so lines with equal zones share one string.
struct LinesVisitor;

impl<'de> Visitor<'de> for LinesVisitor {
    type Value = Vec<ListedRunStore>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "at most {MAX_LINES} lines")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Vec<ListedRunStore>, A::Error> {
        let mut zones: BTreeSet<Arc<str>> = BTreeSet::new();
        let mut lines = Vec::new();
        while let Some(line) = seq.next_element::<Line>()? {
            if lines.len() == MAX_LINES {
                return Err(A::Error::invalid_length(MAX_LINES + 1, &self));
            }
            let zone = zones.get(line.zone.as_ref()).cloned().unwrap_or_else(|| {
                let zone: Arc<str> = line.zone.as_ref().into();
                zones.insert(zone.clone());
                zone
            });
            lines.push(line.to_listed_in(zone));
        }
        Ok(lines)
    }
}

impl List {
    /// Creates a complete list of these run stores.
    pub fn of(endpoints: Vec<ListedRunStore>) -> Self {
        List { index: 0, snapshot: true, endpoints }
    }

    /// Converts the list to an update for the core.
    pub fn into_update(self) -> DirectoryUpdate {
        if self.snapshot {
            DirectoryUpdate::Full(self.endpoints)
        } else {
            DirectoryUpdate::Changes(self.endpoints)
        }
    }
}

#[cfg(test)]
mod tests;
