//! The discovery service's list, from JSON.

use serde::{Deserialize, Serialize};

use crate::api::{Replica, ReplicaId, ReplicaState};
use crate::core::{Listed, News};

/// An answer of the discovery service, or the list of an aggregator's configuration.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct List {
    /// The version of the list.
    #[serde(default)]
    pub index: u64,
    /// Whether these are all lines, or those that changed.
    #[serde(default)]
    pub snapshot: bool,
    /// The lines.
    #[serde(default)]
    pub endpoints: Vec<Line>,
}

/// A line of the list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// The run store's name.
    pub name: String,
    /// Where it listens.
    #[serde(default)]
    pub address: String,
    /// Where it stands.
    #[serde(default)]
    pub zone: String,
    /// Its cell.
    pub group: u32,
    /// Its state.
    pub status: String,
    /// Its size against others.
    #[serde(default = "one")]
    pub weight: f64,
    /// When it last started, as Unix time in milliseconds; 0 for long ago.
    #[serde(default)]
    pub since_ms: f64,
}

fn one() -> f64 {
    1.0
}

impl Line {
    fn listed(&self) -> Listed {
        let replica = Replica {
            id: ReplicaId::from(self.name.as_str()),
            zone: self.zone.as_str().into(),
            cell: self.group,
            // A state of a new kind is no invitation to send.
            state: match self.status.as_str() {
                "ready" => ReplicaState::Active,
                "gone" => ReplicaState::Gone,
                _ => ReplicaState::Draining,
            },
            weight: self.weight,
            started: Some(self.since_ms).filter(|since| *since > 0.0),
        };
        Listed { replica, address: self.address.parse().ok() }
    }
}

impl List {
    /// The lines for the core.
    pub fn listed(&self) -> Vec<Listed> {
        self.endpoints.iter().map(Line::listed).collect()
    }

    /// A whole list of such lines.
    pub fn of(lines: &[Listed]) -> Self {
        let line = |line: &Listed| Line {
            name: line.replica.id.0.to_string(),
            address: line.address.map(|address| address.to_string()).unwrap_or_default(),
            zone: line.replica.zone.to_string(),
            group: line.replica.cell,
            status: if line.replica.state == ReplicaState::Active { "ready" } else { "draining" }.into(),
            weight: line.replica.weight,
            since_ms: line.replica.started.unwrap_or(0.0),
        };
        List { index: 0, snapshot: true, endpoints: lines.iter().map(line).collect() }
    }

    /// As news.
    pub fn news(&self) -> News {
        if self.snapshot {
            News::Full(self.listed())
        } else {
            News::Changes(self.listed())
        }
    }
}
